/** Exit statuses of a scripted case; an uncaught error of Java exits with 1. */
enum Outcome {

	HELD(10), BROKEN(11), COULD_NOT_RUN(12);

	private final int status;

	Outcome(int status) {
		this.status = status;
	}

	void exit() {
		System.exit(this.status);
	}

}

package org.baobabknot.experiment;

/**
 * Main class of a process that does nothing until it is ended.
 */
public final class IdleProcess {

	private IdleProcess() {
	}

	public static void main(String[] args) throws InterruptedException {
		Thread.currentThread().join();
	}

}

package org.baobabknot.experiment;

/**
 * Main class of a process that waits to be ended.
 */
public final class IdleProcess {

	private IdleProcess() {
	}

	public static void main(String[] args) throws InterruptedException {
		Thread.currentThread().join();
	}

}

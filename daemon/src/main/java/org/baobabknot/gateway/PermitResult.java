package org.baobabknot.gateway;

/**
 * What came of a request for permits.
 */
enum PermitResult {

	/** Permits were issued. */
	GRANTED("granted"),

	/** The limit is used up. */
	DENIED("denied"),

	/** The issuer did not reply in time. */
	UNANSWERED("unanswered"),

	/** No issuer can be asked now. */
	NOT_REQUESTED("not-requested");

	private final String label;

	PermitResult(String label) {
		this.label = label;
	}

	String label() {
		return this.label;
	}

}

package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Describes a fleet to start: sizes, failure domains, rates and delays.
 *
 * @param name name of the deployment
 * @param domains failure domains; the store and the origin are in the first one's region
 * @param entries number of entries, spread evenly over the failure domains
 * @param services the services; the first one runs a model
 * @param link the link between two failure domains, each way
 * @param machineBytesPerSecond rate of the link of an instance, for bulk traffic, in
 * bytes per second
 * @param originBytesPerSecond rate of the origin's link, in bytes per second
 * @param model size of a model
 * @param workspaces names of workspaces, the largest first
 */
public record Deployment(String name, List<Domain> domains, int entries, List<Service> services, Link link,
		long machineBytesPerSecond, long originBytesPerSecond, Model model, List<String> workspaces) {

	private static final int BYTES_PER_MEGABIT = 125_000;

	// 16 chunks of 128 KiB. With two copies over an instance's link and four over the
	// origin's in the time allowed, the rates below allow about 2.4 s.
	private static final Model SMALL_MODEL = new Model(2 << 20, 128 << 10);

	public Deployment {
		domains = List.copyOf(domains);
		services = List.copyOf(services);
		workspaces = List.copyOf(workspaces);
	}

	/**
	 * Returns the deployment of the translation service.
	 * @return sizes, rates and delays of section 1 of the design page
	 */
	public static Deployment landshut() {
		List<Domain> domains = List.of(new Domain("oberbayern-1", "oberbayern"),
				new Domain("niederbayern-1", "niederbayern"), new Domain("schwaben-1", "schwaben"));
		List<Service> services = List.of(Service.engine("translation", 8), Service.plain("cards", 3),
				Service.plain("billing", 1));
		long rate = 14L * BYTES_PER_MEGABIT;
		return new Deployment("landshut", domains, 18, services, new Link(2, rate), rate, rate, SMALL_MODEL,
				List.of("brewery-inns", "school-canteens", "tourist-office", "health-inspection", "inn-adler",
						"inn-krone", "inn-post", "beer-garden-isar", "canteen-north", "print-shop"));
	}

	/**
	 * Returns the deployment of the advice service.
	 * @return sizes, rates and delays of section 1 of the design page
	 */
	public static Deployment roshan() {
		List<Domain> domains = List.of(new Domain("punjab-1", "punjab"), new Domain("sindh-1", "sindh"),
				new Domain("khyber-1", "khyber"));
		List<Service> services = List.of(Service.engine("advice", 11), Service.plain("orders", 3),
				Service.plain("ledger", 1));
		long rate = 15L * BYTES_PER_MEGABIT;
		return new Deployment("roshan", domains, 18, services, new Link(1, rate), rate, rate, SMALL_MODEL,
				List.of("head-office", "lahore-shops", "karachi-shops", "multan-shops", "hyderabad-shops",
						"peshawar-shops", "swat-shops", "warehouse", "auditors", "trainers"));
	}

	/**
	 * Finds a deployment by name.
	 * @param name the name
	 * @return the deployment, or nothing
	 */
	public static Optional<Deployment> byName(String name) {
		return List.of(landshut(), roshan())
			.stream()
			.filter((deployment) -> deployment.name().equals(name))
			.findFirst();
	}

	/**
	 * Returns this deployment with other numbers of processes.
	 * @param entryCount number of entries
	 * @param modelTargets targets of the model service
	 * @return a changed copy
	 */
	public Deployment withSize(int entryCount, int modelTargets) {
		List<Service> changedServices = new ArrayList<>(this.services);
		changedServices.set(0, this.services.get(0).withTargets(modelTargets));
		return new Deployment(this.name, this.domains, entryCount, changedServices, this.link,
				this.machineBytesPerSecond, this.originBytesPerSecond, this.model, this.workspaces);
	}

	/**
	 * Returns this deployment with other services.
	 * @param changed the services; the first one runs a model
	 * @return a changed copy
	 */
	public Deployment with(List<Service> changed) {
		return new Deployment(this.name, this.domains, this.entries, changed, this.link, this.machineBytesPerSecond,
				this.originBytesPerSecond, this.model, this.workspaces);
	}

	/**
	 * Returns this deployment with other rates and another model size.
	 * @param linkRate rate of the link between two failure domains, in bytes per second
	 * @param machineRate rate of the link of an instance, in bytes per second
	 * @param originRate rate of the origin's link, in bytes per second
	 * @param changed size of the model
	 * @return a changed copy
	 */
	public Deployment with(long linkRate, long machineRate, long originRate, Model changed) {
		return new Deployment(this.name, this.domains, this.entries, this.services,
				new Link(this.link.delayMillis(), linkRate), machineRate, originRate, changed, this.workspaces);
	}

	/**
	 * Returns the model service.
	 * @return the first service
	 */
	public Service modelService() {
		return this.services.get(0);
	}

	/**
	 * Returns the ordering service.
	 * @return the second service
	 */
	public Service orderService() {
		return this.services.get(1);
	}

	/**
	 * Returns the instances. Entries and the targets of each service are assigned to the
	 * failure domains in turn.
	 * @return the instances, entries first
	 */
	public List<Instance> instances() {
		List<Instance> instances = new ArrayList<>();
		IntStream.range(0, this.entries)
			.forEach((i) -> instances.add(new Instance("entry-" + (i + 1), domain(i), Optional.empty())));
		for (Service service : this.services) {
			IntStream.range(0, service.targets())
				.forEach((i) -> instances
					.add(new Instance(service.name() + "-" + (i + 1), domain(i), Optional.of(service))));
		}
		return instances;
	}

	private Domain domain(int number) {
		return this.domains.get(number % this.domains.size());
	}

	/**
	 * A failure domain.
	 *
	 * @param name its name
	 * @param region its region
	 */
	public record Domain(String name, String region) {
	}

	/**
	 * A service.
	 *
	 * @param name its name
	 * @param engine whether its targets are engines, or plain services otherwise
	 * @param targets number of targets
	 * @param coldLimit requests that a target can run at once while cold
	 * @param capacity requests that a target can run at once when warm
	 * @param coldMillis time until a started target is warm, in milliseconds
	 * @param workMillis time per token of an engine or per request of a plain service, in
	 * milliseconds
	 * @param loadMillis time that an engine takes to load weights after their last byte,
	 * in milliseconds
	 */
	public record Service(String name, boolean engine, int targets, int coldLimit, int capacity, long coldMillis,
			double workMillis, long loadMillis) {

		/**
		 * Creates a service whose engines load weights in 100 ms.
		 * @param name its name
		 * @param engine whether its targets are engines
		 * @param targets number of targets
		 * @param coldLimit requests at once while cold
		 * @param capacity requests at once when warm
		 * @param coldMillis time until a started target is warm, in milliseconds
		 * @param workMillis time per token or request, in milliseconds
		 */
		public Service(String name, boolean engine, int targets, int coldLimit, int capacity, long coldMillis,
				double workMillis) {
			this(name, engine, targets, coldLimit, capacity, coldMillis, workMillis, 100);
		}

		static Service engine(String name, int targets) {
			return new Service(name, true, targets, 2, 16, 1_000, 2);
		}

		static Service plain(String name, int targets) {
			return new Service(name, false, targets, 4, 32, 500, 5);
		}

		/**
		 * Returns this service with another loading time.
		 * @param millis time to load weights after their last byte, in milliseconds
		 * @return a changed copy
		 */
		public Service withLoadTime(long millis) {
			return new Service(this.name, this.engine, this.targets, this.coldLimit, this.capacity, this.coldMillis,
					this.workMillis, millis);
		}

		Service withTargets(int count) {
			return new Service(this.name, this.engine, count, this.coldLimit, this.capacity, this.coldMillis,
					this.workMillis, this.loadMillis);
		}

	}

	/**
	 * A link between two failure domains, shared by all traffic between them.
	 *
	 * @param delayMillis one-way delay in milliseconds
	 * @param bytesPerSecond rate each way, in bytes per second
	 */
	public record Link(double delayMillis, long bytesPerSecond) {
	}

	/**
	 * Size of a model.
	 *
	 * @param bytes size of the weights in bytes
	 * @param chunkBytes size of a chunk in bytes
	 */
	public record Model(int bytes, int chunkBytes) {
	}

	/**
	 * One instance of the fleet.
	 *
	 * @param name its name
	 * @param domain its failure domain
	 * @param service the service of its target; an entry has none
	 */
	public record Instance(String name, Domain domain, Optional<Service> service) {

		/**
		 * Returns whether this instance is an entry.
		 * @return false for an agent
		 */
		public boolean isEntry() {
			return this.service.isEmpty();
		}

	}

}

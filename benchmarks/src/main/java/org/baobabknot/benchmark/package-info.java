/**
 * JMH benchmarks of the cost per call of the decisions in {@code core}, and measurements
 * of their memory. Run with
 * {@code java -cp 'benchmarks/target/benchmarks-0.1.0-SNAPSHOT.jar:benchmarks/target/lib/*' org.openjdk.jmh.Main NAME}.
 */
@NullMarked
package org.baobabknot.benchmark;

import org.jspecify.annotations.NullMarked;

/**
 * The operator tool {@code baobabknotctl}: checks and applies rules, shows which revision
 * is in force on which process, drains instances and merges the timelines of all
 * processes.
 *
 * <pre>
 * baobabknotctl --settings tool.json check rules.txt
 * baobabknotctl --settings tool.json apply rules.txt --wait
 * </pre>
 */
@NullMarked
package org.baobabknot.command;

import org.jspecify.annotations.NullMarked;

/**
 * Versioned member list of this process: entries and agents with their state.
 *
 * <pre>{@code
 * MembershipView view = new MembershipView();
 * view.apply(MemberUpdate.full(12, members));
 * List<Member> agents = view.agents("translation", "oberbayern");
 * }</pre>
 */
@NullMarked
package org.baobabknot.membership;

import org.jspecify.annotations.NullMarked;

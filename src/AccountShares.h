#pragma once

/** \file
 * The order of accounts among owed steps of equal urgency and priority: the account that has used the least in
 * proportion to its weight comes first, and within an account the step with the earlier latest start. This is
 * start-time fair queueing with one difference: the tags are assigned anew in each placement round. A tag that a step
 * kept from the moment it became ready would make an account's steps start in the order of their arrival, so that short
 * work would wait behind all long work of the same account.
 */

#include "StepOrder.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include <string>

namespace cicada {

/** Used on the decision thread only. */
class AccountShares {
public:
    /** A waiting step and what its place among the accounts depends on. */
    struct Waiting {
        StepRank* rank = nullptr;
        /** Empty for work without an account, which together counts as one account of weight 1. */
        absl::string_view account;
        double weight = 1;
        /** Of the tasks that wait: processors times estimated run time. */
        double work = 0;
    };

    /** Sets the share tags of all waiting owed steps, which are sorted by urgency, priority and latest start: a step
     * counts what its account has used, and the account's steps before it. */
    void assignTags(absl::Span<const Waiting> steps);
    /** Counts work that gets capacity. */
    void recordStarted(absl::string_view account, double weight, double work);

private:
    double usedBy(absl::string_view account) const;

    /** Work started by each account, divided by its weight. */
    absl::flat_hash_map<std::string, double> m_used;
    /** The least that counts as used, so that an account which had nothing to run saves nothing up. */
    double m_floor = 0;
};

} // namespace cicada

#pragma once

/** \file
 * Numbers of the requests that a process sends to its peers, by which it recognizes their replies. A peer sends a reply
 * to the name of a process, where a restarted one may be by then. The numbers therefore begin at a random one in each
 * process, so that a reply to the former process is not taken for the reply to another request of the new one.
 */

#include <cstdint>

namespace cicada {

/** The numbers of one process for one kind of request. Not thread-safe. */
class RequestNumbers {
public:
    RequestNumbers();
    uint64_t next() { return ++m_last; }

private:
    uint64_t m_last;
};

} // namespace cicada

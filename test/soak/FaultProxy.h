#pragma once

/** \file
 * A loopback proxy for TCP that harms what passes through it, as networks do: bytes are delayed, held back in one way
 * or both, connections are reset, or go silent for good while new ones work.
 */

#include "Settings.h"

#include "absl/time/time.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace cicada::test {

/** Passes connections from one address to another. Used on the loop's thread only. */
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context&, Endpoint listen, Endpoint target);
    ~FaultProxy();

    Result<void> start();
    /** Holds back what comes from those who connect, what goes to them, or both, until it is healed. */
    void cut(bool fromCallers, bool toCallers);
    void setDelay(absl::Duration);
    /** Ends all cuts and delays; what was held back arrives. */
    void heal();
    /** Resets the open connections. */
    void reset();
    /** The open connections pass nothing any more, and stay open. */
    void silence();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cicada::test

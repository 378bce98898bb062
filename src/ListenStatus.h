#pragma once

/** \file
 * The outcome of an attempt to listen at an address.
 */

namespace cicada {

enum class ListenStatus {
    Listening,
    /** Another socket of the machine has the port, perhaps for a moment only. */
    AddressInUse,
};

} // namespace cicada

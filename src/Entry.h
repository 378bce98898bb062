#pragma once

/** \file
 * One entry, put together from its parts: the daemon is a main function around this, and a program that embeds the
 * library may hold one too.
 */

#include "Clock.h"
#include "ServiceRegistry.h"
#include "Settings.h"

#include <memory>

namespace cicada {

class JobService;

/** A whole entry. */
class Entry {
public:
    /** Puts the entry together; nothing runs and no address is bound yet. */
    static Result<std::unique_ptr<Entry>> create(Settings settings);
    ~Entry();

    /** Binds the addresses and starts all services. */
    Result<void> start();
    /** A planned stop: takes nothing new, lets what is in flight finish, at most for the settings' stopTimeout, and
     * hands what it owns to other entries. */
    void stop();

private:
    struct Parts;

    static std::unique_ptr<JobService> makeJobs(Parts&);
    explicit Entry(std::unique_ptr<Parts> parts);
    void handOver();

    std::unique_ptr<Parts> m_parts;
};

} // namespace cicada

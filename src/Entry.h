#pragma once

/** \file
 * One entry, assembled from its parts. The daemon is a main function around this class, and a program that embeds the
 * library may create one too.
 */

#include "Clock.h"
#include "ServiceRegistry.h"
#include "Settings.h"

#include <memory>

namespace cicada {

class JobService;

/** An entry with all its services. */
class Entry {
public:
    /** Assembles the entry; nothing runs and no address is bound yet. */
    static Result<std::unique_ptr<Entry>> create(Settings settings);
    ~Entry();

    /** Binds the addresses and starts all services. */
    Result<void> start();
    /** A planned stop: accepts no new requests, waits for those in flight for at most the settings' stopTimeout, and
     * hands over what it owns to other entries. */
    void stop();

private:
    struct Parts;

    static std::unique_ptr<JobService> makeJobs(Parts&);
    explicit Entry(std::unique_ptr<Parts> parts);
    void handOver();

    std::unique_ptr<Parts> m_parts;
};

} // namespace cicada

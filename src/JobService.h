#pragma once

/** \file
 * Assembles the components of an entry that run jobs, for the daemon, the tests and applications that embed the
 * library.
 */

#include "JobDirectory.h"
#include "LoopbackBus.h"
#include "RackController.h"

#include <functional>
#include <memory>

namespace cicada {

/** The components of one entry that run jobs. Used on the decision thread only. */
class JobService {
public:
    struct Parts {
        std::string name;
        Store& store;
        PeerBus& peers;
        Ownership& ownership;
        BackEnds& backEnds;
        const Clock& clock;
        ConfigWatch& watch;
        WorkerClient& workers;
        double clockDriftBound = 0.01;
        /** Differs for each incarnation of the entry. */
        uint64_t session = 1;
        /** A name that makePlacementScore() accepts. */
        std::string score = "best-fit";
        /** Whether operators plan to stop the back end. */
        std::function<bool(const BackEnd&)> isStopping = [](const BackEnd&) { return false; };
    };

    /** Everything in `parts` must outlive the service. */
    JobService(Parts parts, JobController::ProfileLookUp lookUp)
        : m_peers(parts.name, parts.peers)
        , m_records(parts.store, parts.clock)
        , m_quotas(parts.watch)
        , m_racks({ parts.ownership, parts.backEnds, parts.clock, parts.workers, parts.clockDriftBound, parts.session,
                      parts.isStopping },
              m_peers, makePlacementScore(parts.score, parts.session))
        , m_controller({ parts.name, m_peers, parts.ownership, parts.backEnds, parts.clock, m_records, m_quotas,
                           parts.isStopping, parts.session },
              std::move(lookUp))
        , m_directory(
              { parts.name, m_peers, parts.ownership, parts.backEnds, parts.clock, m_records, m_quotas, m_controller })
    {
    }

    void tick(Instant now)
    {
        m_peers.tick();
        m_records.tick(now);
        m_quotas.expire(now);
        m_racks.tick(now);
        m_controller.tick(now);
        m_directory.tick(now);
    }

    JobDirectory& directory() { return m_directory; }
    JobController& controller() { return m_controller; }
    RackController& racks() { return m_racks; }
    Quotas& quotas() { return m_quotas; }

private:
    LoopbackBus m_peers;
    JobRecords m_records;
    Quotas m_quotas;
    RackController m_racks;
    JobController m_controller;
    JobDirectory m_directory;
};

} // namespace cicada

#pragma once

/** \file
 * Polls the platform's VM list at a fixed interval and passes it to the decision thread.
 */

#include "BackEnds.h"
#include "EventLoop.h"

#include <memory>
#include <thread>

namespace cicada {

/** The thread that polls the VM list. While the list can't be read, the last one read stays in use. */
class VmListWatcher final : public Service {
public:
    /** `loop` and `backEnds` must outlive the watcher. */
    VmListWatcher(Endpoint server, EventLoop& loop, BackEnds& backEnds);
    ~VmListWatcher() override;

    absl::string_view name() const override { return "vm-list"; }
    Result<void> start() override;
    void stop() override;

    static constexpr absl::Duration pollInterval = absl::Seconds(1);

private:
    void run();
    void poll();

    const Endpoint m_server;
    EventLoop& m_loop;
    BackEnds& m_backEnds;
    absl::Mutex m_mutex;
    absl::CondVar m_wake;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace cicada

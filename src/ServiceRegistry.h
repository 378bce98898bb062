#pragma once

/** \file
 * A process is a set of services that find each other by name in this registry. A service is started after the ones
 * added before it and stopped before them, so that it may use those as long as it runs.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <memory>
#include <string>
#include <vector>

namespace cicada {

/** A part of the process that is started and stopped, with a unique name. */
class Service {
public:
    virtual ~Service() = default;
    /** The unique name by which other services find this one. */
    virtual absl::string_view name() const = 0;
    /** Starts the service's threads; an error aborts the start of the whole process. */
    virtual Result<void> start() = 0;
    /** Stops and joins the service's threads. Called once, after a successful start. */
    virtual void stop() = 0;
};

/** The services of a process. Not thread-safe while services are added; afterwards find() is thread-safe. */
class ServiceRegistry {
public:
    ~ServiceRegistry();

    /** Adds a service; an error if its name is already in use. */
    Result<void> add(std::unique_ptr<Service>);
    /** Starts all services in the order added. On an error those already started are stopped. */
    Result<void> start();
    /** Stops all started services in the reverse order. */
    void stop();
    /** The service with that name, or null if there is none. */
    Service* find(absl::string_view name) const;

    /** The service with that name as a T, or null if there is none or it is of another type. */
    template <typename T> T* findAs(absl::string_view name) const { return dynamic_cast<T*>(find(name)); }

private:
    std::vector<std::unique_ptr<Service>> m_services;
    size_t m_started = 0;
};

} // namespace cicada

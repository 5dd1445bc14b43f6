#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/strong_type.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace parsleypitch {

using service_name = string_id<struct service_name_tag>;

class kernel;

/// @brief A part of a process that the kernel starts, drains and stops.
///
/// A service looks up the services that it uses by name in `start`, not earlier.
class service {
  public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;
    virtual ~service() = default;

    /// @brief The unique name under which other services find this one.
    [[nodiscard]] virtual service_name name() const = 0;
    /// @brief Starts the service. All services of the process are registered when it is called.
    /// @param host the kernel that runs the service
    [[nodiscard]] virtual result<void> start(kernel& host) = 0;
    /// @brief Stops accepting new work and blocks until the work in progress is complete.
    virtual void drain() {}
    /// @brief Releases threads and sockets.
    virtual void stop() {}
};

/// @brief The services of one process by name, with its control thread and its worker threads.
///
/// Control state is changed on the control thread only, by tasks posted with the `post_control` functions.
/// Blocking calls run on worker threads.
class kernel {
  public:
    /// @param worker_threads number of threads for blocking calls
    explicit kernel(unsigned worker_threads);
    ~kernel();
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;
    kernel(kernel&&) = delete;
    kernel& operator=(kernel&&) = delete;

    /// @brief Registers a service. Services are started in the order of their registration.
    /// @return `service_duplicate` if a service with the same name is registered
    [[nodiscard]] result<void> add(std::shared_ptr<service> new_service);

    /// @brief Finds a service by name and type.
    /// @return the service; `service_not_found` if no service has the name; `service_wrong_type` if it is
    /// not a `Service`
    template <class Service>
    [[nodiscard]] result<std::shared_ptr<Service>> find(const service_name& name) const {
        const std::shared_ptr<service> found = lookup(name);
        if (!found) {
            return fail(errc::service_not_found, name.str());
        }
        auto typed = std::dynamic_pointer_cast<Service>(found);
        if (!typed) {
            return fail(errc::service_wrong_type, name.str());
        }
        return typed;
    }

    /// @brief Event loop of the control thread, for sockets and timers that are used on that thread.
    [[nodiscard]] asio::io_context& control_context();
    /// @brief Runs `task` on the control thread.
    void post_control(std::function<void()> task);
    /// @brief Runs `task` on the control thread after `delay`.
    void post_control_after(duration delay, std::function<void()> task);
    /// @brief Runs `task` on the control thread without delay, and again `period` after each run ends, until
    /// the kernel stops.
    void post_control_every(duration period, std::function<void()> task);
    /// @brief Runs `task`, which may block, on a worker thread.
    void post_worker(std::function<void()> task);

    /// @brief Starts all services in the order of registration.
    /// @return the error of the first service that fails to start; the services started before it and the
    /// threads are stopped then
    [[nodiscard]] result<void> start();
    /// @brief Drains all started services in reverse order of starting.
    void drain();
    /// @brief Stops all started services in reverse order of starting, then the threads. Further calls have
    /// no effect.
    void stop();

  private:
    struct threads;

    [[nodiscard]] std::shared_ptr<service> lookup(const service_name& name) const;

    // Declared before the services: their sockets use the event loop and must be destroyed before it.
    std::unique_ptr<threads> m_threads;
    std::vector<std::shared_ptr<service>> m_services;
    std::size_t m_started = 0;
};

} // namespace parsleypitch

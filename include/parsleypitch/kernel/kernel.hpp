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
/// A service finds others by name in `start`, never earlier.
class service {
  public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;
    virtual ~service() = default;

    [[nodiscard]] virtual service_name name() const = 0;
    /// @brief Starts the service; all services of the process are registered by then.
    [[nodiscard]] virtual result<void> start(kernel& host) = 0;
    /// @brief Takes no new work and returns when the work at hand is complete.
    virtual void drain() {}
    /// @brief Releases threads and sockets.
    virtual void stop() {}
};

/// @brief Registry of services by name, with the control thread and the worker threads of one process.
///
/// The control thread owns control state: a function posted with `post_control` is the only code that changes
/// it. Blocking calls run on worker threads.
class kernel {
  public:
    /// @param worker_threads number of threads for blocking calls
    explicit kernel(unsigned worker_threads);
    ~kernel();
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;
    kernel(kernel&&) = delete;
    kernel& operator=(kernel&&) = delete;

    /// @brief Registers a service; the order of registration is the order of starting.
    /// @return `service_duplicate` if the name is taken
    [[nodiscard]] result<void> add(std::shared_ptr<service> added);

    /// @brief Finds a service by name and type.
    /// @return `service_not_found`, or `service_wrong_type` if the service is of another type
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

    /// @brief Event loop of the control thread, for connections of control services.
    [[nodiscard]] asio::io_context& control_context();
    /// @brief Runs `task` on the control thread.
    void post_control(std::function<void()> task);
    /// @brief Runs `task` on the control thread after `delay`.
    void post_control_after(duration delay, std::function<void()> task);
    /// @brief Runs `task` on the control thread now and then every `period`, until the kernel stops.
    void post_control_every(duration period, std::function<void()> task);
    /// @brief Runs a task that may block on a worker thread.
    void post_worker(std::function<void()> task);

    /// @brief Starts all services in order; after a failure those already started are stopped.
    [[nodiscard]] result<void> start();
    /// @brief Drains all services, the last started first.
    void drain();
    /// @brief Stops all services and threads; called at most once.
    void stop();

  private:
    struct threads;

    [[nodiscard]] std::shared_ptr<service> lookup(const service_name& name) const;

    // Destroyed after the services, whose sockets belong to the event loop of the control thread.
    std::unique_ptr<threads> m_threads;
    std::vector<std::shared_ptr<service>> m_services;
    std::size_t m_started = 0;
};

} // namespace parsleypitch

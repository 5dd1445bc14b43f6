#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch::standins {

/// @brief Books a slot for a party.
/// @return empty if the slot is confirmed, else the other party that holds it
using booking_hook =
    std::function<std::optional<std::string>(const std::string& slot, const std::string& party)>;

/// @brief Confirmed bookings; the first party that books a slot keeps it.
class booked_slots {
  public:
    [[nodiscard]] std::optional<std::string> book(const std::string& slot, const std::string& party);

  private:
    std::map<std::string, std::string> m_booked;
};

/// @brief Index of a run in the records of a service.
using run_number = number_id<struct run_number_tag>;

/// @brief One call that a plain service received.
struct service_call {
    request_id id;
    idempotency_key key;
    operation_id operation;
    std::string body;
};

/// @brief Record of one run, for `/admin/truth`.
struct service_run {
    request_id id;
    idempotency_key key;
    operation_id operation;
    std::string body_hash;
    time_point started;
    std::optional<time_point> finished;
    std::string outcome; ///< `confirmed`, `rival`, `done`, or empty while in progress
};

/// @brief Answer of a finished run.
struct service_answer {
    std::optional<std::string> confirmed_for; ///< the other party that holds the slot
    std::string text;
};

/// @brief A started run and its service time.
struct started_run {
    run_number number;
    std::uint64_t ticket = 0;
    duration service_time{};
};

struct service_load {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
};

/// @brief State of a plain service: queued and running calls, bookings and the records of all runs.
class service_state {
  public:
    /// @param slots number of calls that run at the same time
    /// @param max_waiting number of calls that may wait for a slot; further ones are refused
    /// @param book stores bookings shared with other servers of the service; empty to keep them in this
    /// object
    service_state(std::size_t slots, std::size_t max_waiting, std::map<operation_id, duration> operations,
                  booking_hook book = {});

    [[nodiscard]] bool supports(const operation_id& operation) const;
    /// @brief Queues a call.
    /// @return its ticket, or an empty optional if too many calls are waiting, in which case it does not run
    [[nodiscard]] std::optional<std::uint64_t> enqueue(service_call call);
    /// @brief Starts the first waiting call if a slot is free, with a service time multiplied by `slowdown`.
    [[nodiscard]] std::optional<started_run> start_next(time_point now, double slowdown);
    /// @brief Completes a run, applies its booking and frees its slot.
    [[nodiscard]] service_answer finish(run_number number, time_point now);
    [[nodiscard]] service_load load() const;
    [[nodiscard]] const std::vector<service_run>& runs() const { return m_runs; }

  private:
    struct waiting_call {
        std::uint64_t ticket = 0;
        service_call call;
    };

    [[nodiscard]] std::optional<std::string> book(const std::string& body);

    std::size_t m_slots;
    std::size_t m_max_waiting;
    std::map<operation_id, duration> m_operations;
    std::deque<waiting_call> m_waiting;
    std::map<run_number, service_call> m_running;
    booked_slots m_booked;
    booking_hook m_book;
    std::vector<service_run> m_runs;
    std::uint64_t m_tickets = 0;
};

} // namespace parsleypitch::standins

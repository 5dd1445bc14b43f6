#pragma once

#include "engine_types.hpp"
#include "order_state.hpp"
#include "prefix_cache.hpp"

#include <deque>
#include <map>
#include <vector>

namespace parsleypitch::standins {

/// @brief Simulation of a model engine with continuous batching, without message encoding or threads.
///
/// `begin_step` plans a step and returns its duration; `finish_step` applies it after that time.
class engine_model {
  public:
    explicit engine_model(engine_options options);

    /// @param kv_imported whether the KV cache of the prompt arrived from another engine
    [[nodiscard]] submission submit(const generate_request& request, bool kv_imported, time_point now);
    /// @return the end of each cancelled sequence
    [[nodiscard]] std::vector<emission> cancel(const request_id& id, attempt_number attempt, time_point now);
    [[nodiscard]] std::vector<emission> cancel(sequence_number sequence, time_point now);

    /// @brief Plans a step.
    /// @return its duration, or an empty optional if there is no work
    [[nodiscard]] std::optional<duration> begin_step(time_point now);
    /// @brief Completes the planned step.
    [[nodiscard]] std::vector<emission> finish_step(time_point now);

    /// @brief Accepts or refuses an order; if it starts a change of setup, all sequences are terminated and
    /// their ends are appended to `cut`.
    [[nodiscard]] order_outcome receive(const engine_order& order, time_point now,
                                        std::vector<emission>& cut);
    void complete_change(time_point now) { m_orders.complete(now); }

    /// @brief KV blocks of the prompt of a request, if available for export; renews their time to live.
    [[nodiscard]] std::optional<kv_block_count> export_kv(const request_id& id, time_point now);
    /// @brief Load at `now` minus the configured lag and `extra_lag`.
    [[nodiscard]] engine_load load(time_point now, duration extra_lag) const;

    [[nodiscard]] const engine_options& options() const { return m_options; }
    [[nodiscard]] const order_state& orders() const { return m_orders; }
    [[nodiscard]] const prefix_cache& cache() const { return m_cache; }
    [[nodiscard]] const std::vector<request_record>& requests() const { return m_records; }
    [[nodiscard]] const std::map<std::string, std::uint64_t>& refused() const { return m_refused; }

  private:
    struct sequence {
        generate_request request;
        bool kv_imported = false;
        std::vector<prefix_hash> chain;
        std::size_t pinned = 0;
        kv_block_count reserved;
        token_count prefill_left;
        token_index next;
        std::size_t record = 0;
    };
    struct arrival_order {
        int priority = 0;
        sequence_number number;
        friend auto operator<=>(const arrival_order&, const arrival_order&) = default;
    };
    struct load_sample {
        time_point at;
        engine_load load;
    };
    struct exported_kv {
        kv_block_count blocks;
        time_point expires;
    };
    using sequences = std::map<arrival_order, sequence>;

    [[nodiscard]] submit_outcome evaluate(const generate_request& request) const;
    [[nodiscard]] token_count prefill_chunk_size() const;
    void admit_waiting(time_point now);
    [[nodiscard]] bool reserve_kv(sequence& admitted, time_point now);
    void emit(sequences::iterator at, std::vector<emission>& out, time_point now);
    [[nodiscard]] emission end(sequences& from, sequences::iterator at, sequence_end why, time_point now);
    void finish_prefill(sequence& finished, time_point now);
    void sample_load(time_point now);

    engine_options m_options;
    order_state m_orders;
    prefix_cache m_cache;
    sequences m_running;
    sequences m_waiting;
    std::map<arrival_order, token_count> m_planned_prefill;
    std::vector<arrival_order> m_planned_decode;
    std::deque<load_sample> m_samples;
    std::map<request_id, exported_kv> m_exports;
    std::vector<request_record> m_records;
    std::map<std::string, std::uint64_t> m_refused;
    sequence_number m_last;
    double m_step_ms = 0;
};

} // namespace parsleypitch::standins

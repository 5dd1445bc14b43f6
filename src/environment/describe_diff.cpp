#include <parsleypitch/environment/environment_diff.hpp>

#include <sstream>

namespace parsleypitch {

namespace detail {

/// Builds the comma-separated list of changes in one line, such as `worth 10 -> 20, floor 0 -> 0.1`.
class field_list {
  public:
    /// Adds `field before -> after` if the values differ.
    template <class Value>
    field_list& add(std::string_view field, const Value& before, const Value& after) {
        if (!(before == after)) {
            m_text << (m_empty ? "" : ", ") << field << ' ' << before << " -> " << after;
            m_empty = false;
        }
        return *this;
    }
    /// Adds a text as it is.
    field_list& add_text(const std::string& text) {
        m_text << (m_empty ? "" : ", ") << text;
        m_empty = false;
        return *this;
    }
    [[nodiscard]] std::string text() const { return m_text.str(); }

  private:
    std::ostringstream m_text;
    bool m_empty = true;
};

std::string format_line(const std::string& subject, change_kind kind, const std::string& fields) {
    return subject + ' ' + std::string(to_string(kind)) + (fields.empty() ? "" : ": " + fields);
}

std::string yes_no(bool value) {
    return value ? "yes" : "no";
}

std::string describe_rank(const rank_change& change) {
    field_list fields;
    const rank_policy& a = change.before;
    const rank_policy& b = change.after;
    fields.add("worth", a.worth, b.worth)
        .add("target_ms", a.target.count(), b.target.count())
        .add("between_tokens_ms", a.between_tokens.count(), b.between_tokens.count())
        .add("deadline_ms", a.deadline.count(), b.deadline.count())
        .add("floor", a.floor, b.floor);
    return format_line("rank " + std::string(to_string(change.which)), change_kind::changed, fields.text());
}

std::string describe_zone(const zone_change& change) {
    const auto& spec = change.kind == change_kind::removed ? change.before : change.after;
    field_list fields;
    if (change.kind == change_kind::changed) {
        fields.add("region", change.before.region, change.after.region);
    }
    return format_line("zone " + spec.id.str(), change.kind, fields.text());
}

std::string describe_model(const model_change& change) {
    field_list fields;
    if (change.kind == change_kind::changed) {
        fields.add("version", change.before, change.after);
    } else {
        fields.add_text("version " +
                        (change.kind == change_kind::added ? change.after : change.before).str());
    }
    for (const adapter_id& adapter : change.adapters_added) {
        fields.add_text("adapter " + adapter.str() + " added");
    }
    for (const adapter_id& adapter : change.adapters_removed) {
        fields.add_text("adapter " + adapter.str() + " removed");
    }
    fields.add_text(std::to_string(change.engines) + " engines affected");
    return format_line("model " + change.id.str(), change.kind, fields.text());
}

std::string describe_operation(const plain_service_id& plain_service, const operation_change& change) {
    field_list fields;
    const auto& spec = change.kind == change_kind::removed ? change.before : change.after;
    if (change.kind == change_kind::changed) {
        fields.add("may be repeated", yes_no(change.before.repeatable), yes_no(change.after.repeatable));
    } else {
        fields.add_text(spec.repeatable ? "may be repeated" : "may not be repeated");
    }
    return format_line("service " + plain_service.str() + " operation " + spec.id.str(), change.kind,
                       fields.text());
}

std::string workload_of(const backend_server_spec& server) {
    return server.model.empty() ? "service " + server.plain_service.str() : "model " + server.model.str();
}

std::string describe_backend_server(const backend_server_change& change) {
    field_list fields;
    const auto& spec = change.kind == change_kind::removed ? change.before : change.after;
    if (change.kind == change_kind::changed) {
        fields.add("zone", change.before.zone, change.after.zone)
            .add("runs", workload_of(change.before), workload_of(change.after))
            .add("checks fencing", yes_no(change.before.checks_fencing), yes_no(change.after.checks_fencing));
    } else {
        fields.add_text("runs " + workload_of(spec));
    }
    return format_line("zone " + spec.zone.str() + " backend server " + spec.id.str(), change.kind,
                       fields.text());
}

std::string describe_account(const account_change& change) {
    field_list fields;
    const auto& spec = change.kind == change_kind::removed ? change.before : change.after;
    if (change.kind == change_kind::changed) {
        fields
            .add("highest rank", to_string(change.before.highest_rank), to_string(change.after.highest_rank))
            .add("weight", change.before.weight, change.after.weight);
        if (change.before.key_sha256 != change.after.key_sha256) {
            fields.add_text("key replaced");
        }
    }
    return format_line("account " + spec.id.str(), change.kind, fields.text());
}

} // namespace detail

std::vector<std::string> describe(const environment_diff& diff) {
    std::vector<std::string> lines;
    if (diff.name_before != diff.name_after) {
        lines.push_back("environment name " + diff.name_before.str() + " -> " + diff.name_after.str());
    }
    const auto add_all = [&lines](const auto& changes, auto describe_one) {
        for (const auto& change : changes) {
            lines.push_back(describe_one(change));
        }
    };
    add_all(diff.ranks, detail::describe_rank);
    add_all(diff.zones, detail::describe_zone);
    add_all(diff.models, detail::describe_model);
    for (const plain_service_change& change : diff.plain_services) {
        if (change.kind != change_kind::changed) {
            lines.push_back(detail::format_line("service " + change.id.str(), change.kind, ""));
        }
        add_all(change.operations, [&change](const operation_change& operation) {
            return detail::describe_operation(change.id, operation);
        });
    }
    add_all(diff.backend_servers, detail::describe_backend_server);
    add_all(diff.accounts, detail::describe_account);
    if (lines.empty()) {
        return {"no differences"};
    }
    const auto streams = diff.live_streams_affected;
    lines.push_back("affected: " + std::to_string(diff.engines_affected) + " engines, " +
                    (streams ? std::to_string(streams->value()) : "an unknown number of") + " live streams");
    return lines;
}

} // namespace parsleypitch

#include <parsleypitch/metrics/metrics.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/weight.hpp>

#include <map>
#include <mutex>
#include <sstream>
#include <tuple>

namespace parsleypitch {

namespace detail {

namespace bh = boost::histogram;

// Ten bins per decade keep the relative error of a quantile below 13%.
constexpr unsigned bin_count = 70;
constexpr double lowest_seconds = 0.0001;
constexpr double highest_seconds = 1000;

auto make_time_histogram() {
    return bh::make_histogram(
        bh::axis::regular<double, bh::axis::transform::log>(bin_count, lowest_seconds, highest_seconds));
}

using time_histogram = decltype(make_time_histogram());

/// A histogram of durations and their sum.
struct duration_series {
    time_histogram bins = make_time_histogram();
    double sum_seconds = 0;
    std::uint64_t samples = 0;
};

using series_key = std::pair<metric_name, metric_labels>;

std::string label_text(const metric_labels& labels, const std::string& extra = "") {
    std::string text;
    for (const metric_label& label : labels) {
        text += (text.empty() ? "" : ",") + label.key + "=\"" + label.value + "\"";
    }
    if (!extra.empty()) {
        text += (text.empty() ? "" : ",") + extra;
    }
    return text.empty() ? "" : "{" + text + "}";
}

/// Writes metrics in the Prometheus text format; expects the series of a metric one after the other.
class exposition_writer {
  public:
    /// Returns the output, after a `# TYPE` line if the metric is a new one.
    std::ostream& line(const metric_name& metric, std::string_view type) {
        if (metric != m_last_metric) {
            m_out << "# TYPE " << metric << ' ' << type << '\n';
            m_last_metric = metric;
        }
        return m_out;
    }
    [[nodiscard]] std::string str() const { return m_out.str(); }

  private:
    std::ostringstream m_out;
    metric_name m_last_metric;
};

void write_histogram(exposition_writer& writer, const series_key& key, const duration_series& series) {
    const auto& [metric, labels] = key;
    std::ostream& out = writer.line(metric, "histogram");
    double cumulative = series.bins.at(-1);
    for (auto&& bin : bh::indexed(series.bins)) {
        cumulative += *bin;
        if (*bin > 0) {
            out << metric << "_bucket"
                << label_text(labels, "le=\"" + std::to_string(bin.bin().upper()) + "\"") << ' ' << cumulative
                << '\n';
        }
    }
    out << metric << "_bucket" << label_text(labels, "le=\"+Inf\"") << ' ' << series.samples << '\n'
        << metric << "_sum" << label_text(labels) << ' ' << series.sum_seconds << '\n'
        << metric << "_count" << label_text(labels) << ' ' << series.samples << '\n';
}

} // namespace detail

struct metrics_registry::state {
    mutable std::mutex mutex;
    std::map<detail::series_key, std::uint64_t> counters;
    std::map<detail::series_key, double> gauges;
    std::map<detail::series_key, detail::duration_series> histograms;
};

metrics_registry::metrics_registry() : m_state(std::make_unique<state>()) {
}
metrics_registry::~metrics_registry() = default;

service_name metrics_service_name() {
    return service_name("metrics");
}

service_name metrics_registry::name() const {
    return metrics_service_name();
}

result<void> metrics_registry::start(kernel&) {
    return success();
}

void metrics_registry::count(const metric_name& metric, const metric_labels& labels, std::uint64_t by) {
    const std::lock_guard lock(m_state->mutex);
    m_state->counters[{metric, labels}] += by;
}

void metrics_registry::set(const metric_name& metric, const metric_labels& labels, double value) {
    const std::lock_guard lock(m_state->mutex);
    m_state->gauges[{metric, labels}] = value;
}

void metrics_registry::record(const metric_name& metric, const metric_labels& labels, duration value) {
    const std::lock_guard lock(m_state->mutex);
    detail::duration_series& series = m_state->histograms[{metric, labels}];
    series.bins(to_seconds(value));
    series.sum_seconds += to_seconds(value);
    ++series.samples;
}

std::uint64_t metrics_registry::counter(const metric_name& metric, const metric_labels& labels) const {
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->counters.find({metric, labels});
    return found == m_state->counters.end() ? 0 : found->second;
}

std::string metrics_registry::exposition() const {
    const std::lock_guard lock(m_state->mutex);
    detail::exposition_writer writer;
    for (const auto& [key, value] : m_state->counters) {
        writer.line(key.first, "counter")
            << key.first << detail::label_text(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : m_state->gauges) {
        writer.line(key.first, "gauge")
            << key.first << detail::label_text(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, series] : m_state->histograms) {
        detail::write_histogram(writer, key, series);
    }
    return writer.str();
}

} // namespace parsleypitch

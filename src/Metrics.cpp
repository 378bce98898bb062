#include "Metrics.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <vector>

namespace cicada {

namespace {

    namespace acc = boost::accumulators;
    using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
    using Total = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

    /** "name{labels}" as "name<suffix>{labels}". */
    std::string withSuffix(absl::string_view series, absl::string_view suffix)
    {
        const size_t brace = series.find('{');
        if (brace == absl::string_view::npos)
            return absl::StrCat(series, suffix);
        return absl::StrCat(series.substr(0, brace), suffix, series.substr(brace));
    }

    /** "name{labels}" as "name{labels,quantile="q"}". */
    std::string withQuantile(absl::string_view series, absl::string_view quantile)
    {
        const std::string label = absl::StrCat("quantile=\"", quantile, "\"}");
        if (series.empty() || series.back() != '}')
            return absl::StrCat(series, "{", label);
        return absl::StrCat(series.substr(0, series.size() - 1), ",", label);
    }

} // namespace

struct Metrics::Distribution {
    Total total;
    Quantile median { acc::quantile_probability = 0.5 };
    Quantile tail { acc::quantile_probability = 0.99 };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(absl::string_view series, uint64_t by)
{
    absl::MutexLock lock(&m_mutex);
    m_counters[series] += by;
}

void Metrics::gauge(absl::string_view series, double value)
{
    absl::MutexLock lock(&m_mutex);
    m_gauges[series] = value;
}

void Metrics::observe(absl::string_view series, double value)
{
    absl::MutexLock lock(&m_mutex);
    auto& distribution = m_distributions[series];
    if (!distribution)
        distribution = std::make_unique<Distribution>();
    distribution->total(value);
    distribution->median(value);
    distribution->tail(value);
}

uint64_t Metrics::counter(absl::string_view series) const
{
    absl::MutexLock lock(&m_mutex);
    auto it = m_counters.find(series);
    return it == m_counters.end() ? 0 : it->second;
}

std::string Metrics::text() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<std::string> lines;
    for (const auto& [series, value] : m_counters)
        lines.push_back(absl::StrCat(series, " ", value));
    for (const auto& [series, value] : m_gauges)
        lines.push_back(absl::StrCat(series, " ", value));
    for (const auto& [series, distribution] : m_distributions) {
        lines.push_back(absl::StrCat(withSuffix(series, "_count"), " ", acc::count(distribution->total)));
        lines.push_back(absl::StrCat(withSuffix(series, "_sum"), " ", acc::sum(distribution->total)));
        lines.push_back(absl::StrCat(withQuantile(series, "0.5"), " ", acc::p_square_quantile(distribution->median)));
        lines.push_back(absl::StrCat(withQuantile(series, "0.99"), " ", acc::p_square_quantile(distribution->tail)));
    }
    std::sort(lines.begin(), lines.end());
    return absl::StrJoin(lines, "\n") + "\n";
}

} // namespace cicada

// What reports say of a target: sums of tries, in samples of one report round each.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "core/time.hpp"
#include "policy/share_controller.hpp"

namespace gorsemount {

constexpr std::size_t kMaxSamples = 8;  // longest look-back, in report rounds (a zone needs 200 tries)

// Sums over a number of tries.
struct TryStats {
  double tries = 0;
  double errored = 0;
  double latency_sum = 0;  // sum over succeeded tries, s
  [[nodiscard]] double error_rate() const { return tries > 0 ? errored / tries : 0; }
  [[nodiscard]] double mean_latency() const { return tries > errored ? latency_sum / (tries - errored) : 0; }
  friend TryStats operator+(const TryStats& a, const TryStats& b) {
    return {a.tries + b.tries, a.errored + b.errored, a.latency_sum + b.latency_sum};
  }
  TryStats& operator+=(const TryStats& o) { return *this = *this + o; }
};

// The reports received in one round.
struct Sample {
  Instant received;
  double interval = 0;  // time that the reports cover, s: a round, or longer if reports are delayed
  TryStats stats;
  std::optional<double> utilization;  // fraction of the processors in use, as reported
  [[nodiscard]] Instant begin_time() const { return received - Span::seconds(interval); }
};

// A target with its own samples and share controller: a backend, or the link between two zones.
struct Target {
  ShareController control;
  std::deque<Sample> samples;
  Instant last_success;  // last report with a succeeded try
  // Over the last samples that began after `since`.
  [[nodiscard]] TryStats stats(std::size_t max_samples, Instant since) const;
};

// The value below which the given fraction of the values lies; 0 if there are none.
[[nodiscard]] double quantile(std::vector<double> values, double fraction);

}  // namespace gorsemount

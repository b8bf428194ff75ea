// Enforces a forwarder's allocation of the retry budget by counts over the last ten seconds, as a proxy's own
// sliding rates do. No I/O, no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "core/time.hpp"

namespace gorsemount::limits {

class RetryLimiter {
 public:
  // Always allowed within the window, since a share of so few first tries is noise.
  static constexpr double kMinRetries = 3;

  void record_first_try(Instant now) { ++bucket_at(now).first_tries; }
  // Whether a retry is allowed now; counts it if so. `permille`: of first tries; negative: unlimited.
  bool allow_retry(Instant now, int permille) {
    Bucket& current = bucket_at(now);
    if (permille >= 0) {
      double first_tries = 0, retries = 0;
      for (const auto& bucket : buckets_) first_tries += bucket.first_tries, retries += bucket.retries;
      if (retries + 1 > std::max(kMinRetries, first_tries * permille / 1000.0)) return false;
    }
    ++current.retries;
    return true;
  }

 private:
  struct Bucket {
    std::uint32_t first_tries = 0, retries = 0;
  };
  Bucket& bucket_at(Instant now) {
    const std::int64_t second = (now - Instant{}).micros() / 1'000'000;
    if (second - second_ >= static_cast<std::int64_t>(buckets_.size())) buckets_ = {}, second_ = second;
    while (second_ < second) buckets_[static_cast<std::size_t>(++second_) % buckets_.size()] = {};
    return buckets_[static_cast<std::size_t>(second) % buckets_.size()];
  }
  std::array<Bucket, 10> buckets_{};
  std::int64_t second_ = 0;
};

}  // namespace gorsemount::limits

// What a forwarder does with its part of the retry budget: counts of the last ten seconds, as a proxy's own
// sliding rates give them. Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "core/time.hpp"

namespace gorsemount::limits {

class RetryLimiter {
 public:
  // Below so many in the window a share of them is noise.
  static constexpr double kLeast = 3;

  void record_first_try(Instant now) { ++at(now).first; }
  // Whether one may be tried again now; if so it counts. `thousandths` of first tries; below 0: any number.
  bool allow_retry(Instant now, int thousandths) {
    Bucket& bucket = at(now);
    if (thousandths >= 0) {
      double all = 0, further = 0;
      for (const auto& b : buckets_) all += b.first, further += b.further;
      if (further + 1 > std::max(kLeast, all * thousandths / 1000.0)) return false;
    }
    ++bucket.further;
    return true;
  }

 private:
  struct Bucket {
    std::uint32_t first = 0, further = 0;
  };
  Bucket& at(Instant now) {
    const std::int64_t second = (now - Instant{}).micros() / 1'000'000;
    if (second - second_ >= static_cast<std::int64_t>(buckets_.size())) buckets_ = {}, second_ = second;
    while (second_ < second) buckets_[static_cast<std::size_t>(++second_) % buckets_.size()] = {};
    return buckets_[static_cast<std::size_t>(second) % buckets_.size()];
  }
  std::array<Bucket, 10> buckets_{};
  std::int64_t second_ = 0;
};

}  // namespace gorsemount::limits

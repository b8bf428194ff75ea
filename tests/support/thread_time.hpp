// Processor time for tests that bound the work of one call. Unlike elapsed time it doesn't depend on what
// else the machine is doing.
#pragma once

#include <ctime>

#include "core/time.hpp"

namespace gorsemount::testing {

// The platform sends SIGKILL 0.7 s after SIGTERM, so nothing that a peer sends may hold the event loop for as
// long as this. Meant for input of the largest size that is accepted.
#ifdef __SANITIZE_ADDRESS__
constexpr double kInstrumentationFactor = 10;  // instrumented and unoptimized code is that much slower
#else
constexpr double kInstrumentationFactor = 1;
#endif
const Span kMaxReadTime = Span::seconds(0.5 * kInstrumentationFactor);

// Processor time that the calling thread spends in `function`.
template <class Function>
Span thread_time(Function function) {
  const auto read = [] {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return Span::seconds(static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec));
  };
  const Span begin = read();
  function();
  return read() - begin;
}

}  // namespace gorsemount::testing

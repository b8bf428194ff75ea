// One thread, plain epoll, edge-triggered: descriptors, timers, signals and work for the next turn.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "core/time.hpp"
#include "net/fd.hpp"

namespace gorsemount::net {

// The monotonic clock, here and nowhere else.
[[nodiscard]] Instant monotonic_now();

class Loop {
 public:
  using Handler = std::function<void(std::uint32_t events)>;
  using Task = std::function<void()>;
  struct Timer {
    Instant at;
    std::uint64_t number = 0;
    auto operator<=>(const Timer&) const = default;
  };

  Loop();  // throws std::system_error
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // `events` as for epoll; edge-triggered always, so a handler reads or writes until it would block.
  void watch(int fd, std::uint32_t events, Handler handler);
  void unwatch(int fd);  // safe from within any handler
  Timer at(Instant when, Task task);
  Timer after(Span span, Task task) { return at(now() + span, std::move(task)); }
  void cancel(Timer& timer);  // of one that has fired, or none: does nothing
  void call_soon(Task task) { tasks_.push_back(std::move(task)); }  // in the next turn
  // From any thread: in a turn soon, on the loop's.
  void post(Task task);
  // Blocks the signal's usual effect. Throws std::system_error.
  void on_signal(int signal, Task task);

  void run();  // until stop()
  void stop() { stopped_ = true; }
  [[nodiscard]] Instant now() const { return now_; }            // as of this turn
  [[nodiscard]] std::uint64_t turns() const { return turns_; }  // so far: a loop that spins shows here

 private:
  void turn();

  Fd epoll_;
  Instant now_;
  bool stopped_ = false;
  std::uint64_t turns_ = 0;
  struct Watched {
    std::uint32_t use = 0;  // tells a descriptor's number from its next use
    std::shared_ptr<Handler> handler;
  };
  std::map<int, Watched> handlers_;
  std::uint32_t uses_ = 0;
  std::map<Timer, Task> timers_;
  std::uint64_t timer_number_ = 0;
  std::vector<Task> tasks_;
  std::map<int, Task> signals_;
  Fd signal_fd_, posted_fd_;
  std::mutex posted_lock_;
  std::vector<Task> posted_;
};

}  // namespace gorsemount::net

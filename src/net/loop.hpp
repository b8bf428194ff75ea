// Single-threaded event loop on edge-triggered epoll: descriptors, timers, signals and deferred tasks.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "core/time.hpp"
#include "net/buffer_account.hpp"
#include "net/fd.hpp"

namespace gorsemount::net {

// The only function that reads the monotonic clock.
[[nodiscard]] Instant monotonic_now();

// The order in which waiting reads are done. `low` is for peers that send more than their share.
enum class ReadPriority : std::uint8_t { high, normal, low };

class Loop {
 public:
  using Handler = std::function<void(std::uint32_t events)>;
  using Task = std::function<void()>;
  using ReadTask = std::function<std::size_t()>;  // reads once; returns the number of bytes read
  struct Timer {
    Instant at;
    std::uint64_t number = 0;
    auto operator<=>(const Timer&) const = default;
  };

  Loop();  // throws std::system_error
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // `events` as for epoll. Always edge-triggered, so a handler must read or write until it would block.
  void watch(int fd, std::uint32_t events, Handler handler);
  void unwatch(int fd);  // safe from within any handler
  Timer at(Instant when, Task task);
  Timer after(Span span, Task task) { return at(now() + span, std::move(task)); }
  void cancel(Timer& timer);  // no effect on an empty timer or one that has fired
  // Runs the task after the current handlers and timers.
  void call_soon(Task task) { deferred_tasks_.push_back(std::move(task)); }
  // Runs the task once, after the events and timers of a turn. A turn stops after kReadBytesPerTurn, so that
  // peers that send much delay neither events nor timers; the other tasks wait for the next turn. The oldest
  // task of each priority runs in each turn, then all others by priority.
  void queue_read(ReadPriority priority, ReadTask task);
  // Runs a task on the loop's thread. May be called from any thread.
  void post(Task task);
  // Runs the task at the signal, whose default action is blocked. Throws std::system_error.
  void on_signal(int signal, Task task);

  void run();  // until stop()
  void stop() { stopped_ = true; }
  [[nodiscard]] Instant now() const { return now_; }  // time at which the current turn began to handle events
  [[nodiscard]] std::uint64_t turns() const { return turns_; }  // turns so far; exposes a busy loop
  // Longest time since the last call that one turn spent on its handlers, timers and tasks, during which
  // nothing else was handled.
  [[nodiscard]] Span take_longest_turn() { return std::exchange(longest_turn_, Span{}); }
  // Longest time since the last call that a read waited for its turn.
  [[nodiscard]] Span take_longest_read_wait() { return std::exchange(longest_read_wait_, Span{}); }
  // Input and output buffers of all connections on this loop.
  [[nodiscard]] BufferAccount& buffers() { return buffers_; }

 private:
  static constexpr std::size_t kReadBytesPerTurn = 128U << 10U;
  static constexpr std::size_t kReadPriorities = 3;
  struct WaitingRead {
    Instant queued_at;
    ReadTask task;
  };

  void turn();
  [[nodiscard]] bool has_waiting_reads() const;
  void run_reads();
  std::size_t run_oldest_read(std::deque<WaitingRead>& queue);

  BufferAccount buffers_;
  Fd epoll_;
  Instant now_;
  bool stopped_ = false;
  std::uint64_t turns_ = 0;
  Span longest_turn_, longest_read_wait_;
  std::array<std::deque<WaitingRead>, kReadPriorities> waiting_reads_;  // by priority
  struct Registration {
    std::uint32_t generation = 0;  // distinguishes registrations of a reused descriptor number
    std::shared_ptr<Handler> handler;
  };
  std::map<int, Registration> handlers_;
  std::uint32_t last_generation_ = 0;
  std::map<Timer, Task> timers_;
  std::uint64_t last_timer_number_ = 0;
  std::vector<Task> deferred_tasks_;
  std::map<int, Task> signals_;
  Fd signal_fd_, post_event_fd_;
  std::mutex posted_mutex_;
  std::vector<Task> posted_tasks_;
};

}  // namespace gorsemount::net

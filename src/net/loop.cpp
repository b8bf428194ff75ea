#include "net/loop.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <system_error>

namespace gorsemount::net {

namespace {

[[noreturn]] void throw_errno(const char* what) {
  throw std::system_error{errno, std::generic_category(), what};
}

}  // namespace

Instant monotonic_now() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return Instant{} + Span::micros(std::int64_t{time.tv_sec} * 1'000'000 + time.tv_nsec / 1000);
}

Loop::Loop() : epoll_{epoll_create1(EPOLL_CLOEXEC)}, now_{monotonic_now()} {
  if (!epoll_) throw_errno("epoll_create1");
  post_event_fd_ = Fd{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
  if (!post_event_fd_) throw_errno("eventfd");
  watch(post_event_fd_.get(), EPOLLIN, [this](std::uint32_t) {
    std::uint64_t count = 0;
    while (read(post_event_fd_.get(), &count, sizeof count) > 0) {
    }
    std::vector<Task> posted;
    {
      const std::lock_guard lock{posted_mutex_};
      posted.swap(posted_tasks_);
    }
    for (const auto& task : posted) task();
  });
}

void Loop::watch(int fd, std::uint32_t events, Handler handler) {
  epoll_event registration{};
  registration.events = events | EPOLLET;
  registration.data.u64 = std::uint64_t{++last_generation_} << 32U | static_cast<std::uint32_t>(fd);
  const bool registered = handlers_.contains(fd);
  if (epoll_ctl(epoll_.get(), registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &registration) != 0)
    throw_errno("epoll_ctl");
  handlers_[fd] = {last_generation_, std::make_shared<Handler>(std::move(handler))};
}

void Loop::unwatch(int fd) {
  if (handlers_.erase(fd) > 0) epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

Loop::Timer Loop::at(Instant when, Task task) {
  const Timer timer{when, ++last_timer_number_};
  timers_.emplace(timer, std::move(task));
  return timer;
}

void Loop::post(Task task) {
  {
    const std::lock_guard lock{posted_mutex_};
    posted_tasks_.push_back(std::move(task));
  }
  const std::uint64_t one = 1;
  // This fails only if the counter is full, and then the loop is already due to wake up.
  static_cast<void>(!write(post_event_fd_.get(), &one, sizeof one));
}

void Loop::queue_read(ReadPriority priority, ReadTask task) {
  waiting_reads_[static_cast<std::size_t>(priority)].push_back({now_, std::move(task)});
}

bool Loop::has_waiting_reads() const {
  return std::any_of(waiting_reads_.begin(), waiting_reads_.end(),
                     [](const auto& queue) { return !queue.empty(); });
}

std::size_t Loop::run_oldest_read(std::deque<WaitingRead>& queue) {
  const WaitingRead read = std::move(queue.front());
  queue.pop_front();
  longest_read_wait_ = std::max(longest_read_wait_, now_ - read.queued_at);
  return read.task();
}

void Loop::run_reads() {
  std::size_t bytes = 0;
  for (auto& queue : waiting_reads_)
    if (!queue.empty() && !stopped_) bytes += run_oldest_read(queue);
  while (bytes < kReadBytesPerTurn && !stopped_) {
    const auto next = std::find_if(waiting_reads_.begin(), waiting_reads_.end(),
                                   [](const auto& queue) { return !queue.empty(); });
    if (next == waiting_reads_.end()) return;
    bytes += run_oldest_read(*next);
  }
}

void Loop::cancel(Timer& timer) {
  if (timer.number != 0) timers_.erase(timer);
  timer = {};
}

void Loop::on_signal(int signal, Task task) {
  signals_[signal] = std::move(task);
  sigset_t set;
  sigemptyset(&set);
  for (const auto& [number, unused] : signals_) sigaddset(&set, number);
  if (sigprocmask(SIG_BLOCK, &set, nullptr) != 0) throw_errno("sigprocmask");
  const bool first_signal = !signal_fd_;
  const int fd = signalfd(signal_fd_.get(), &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0) throw_errno("signalfd");
  if (!first_signal) return;
  signal_fd_ = Fd{fd};
  watch(fd, EPOLLIN, [this](std::uint32_t) {
    signalfd_siginfo info{};
    while (read(signal_fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      if (const auto it = signals_.find(static_cast<int>(info.ssi_signo)); it != signals_.end()) it->second();
  });
}

void Loop::turn() {
  ++turns_;
  std::array<epoll_event, 128> ready;
  int timeout_ms = -1;
  const Instant previous_begin = now_;
  now_ = monotonic_now();
  if (turns_ > 1) longest_turn_ = std::max(longest_turn_, now_ - previous_begin);
  if (!deferred_tasks_.empty() || has_waiting_reads()) {
    timeout_ms = 0;
  } else if (!timers_.empty()) {
    const double remaining = (timers_.begin()->first.at - now_).seconds();
    timeout_ms = static_cast<int>(std::clamp(remaining * 1000 + 0.999, 0.0, 60'000.0));
  }
  const int ready_count = epoll_wait(epoll_.get(), ready.data(), static_cast<int>(ready.size()), timeout_ms);
  if (ready_count < 0 && errno != EINTR) throw_errno("epoll_wait");
  now_ = monotonic_now();
  for (int k = 0; k < ready_count && !stopped_; ++k) {
    // An earlier handler in this batch may have closed the descriptor, and its number may be in use again.
    const auto& event = ready[static_cast<std::size_t>(k)];
    const auto it = handlers_.find(static_cast<int>(event.data.u64 & 0xffffffffU));
    if (it == handlers_.end() || it->second.generation != event.data.u64 >> 32U) continue;
    const auto handler = it->second.handler;
    (*handler)(event.events);
  }
  while (!timers_.empty() && timers_.begin()->first.at <= now_ && !stopped_) {
    const Task task = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    task();
  }
  run_reads();
  const auto tasks = std::exchange(deferred_tasks_, {});
  for (const auto& task : tasks) task();
}

void Loop::run() {
  stopped_ = false;
  while (!stopped_) turn();
}

}  // namespace gorsemount::net

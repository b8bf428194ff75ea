#include "standins/worker.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gorsemount::standins {

namespace {

constexpr double kHealthCheckWorkSeconds = 0.002;  // health checks are queued like any other work
const Span kUtilizationWindow = Span::seconds(0.5);
const char* const kNeverRan = "Never-Ran";  // header of a rejection: the invocation was never begun

}  // namespace

struct Worker::ClientConnection {
  std::shared_ptr<net::Connection> connection;
  net::HttpReader<net::Request> reader;
};

Worker::Worker(net::Loop& loop, Recorder& recorder, WorkerSettings settings, std::uint64_t seed, bool cold)
    : loop_{loop}, recorder_{recorder}, s_{std::move(settings)}, random_{static_cast<std::uint32_t>(seed)} {
  start();
  if (!cold) warm_at_ = loop_.now();
}

Worker::~Worker() {
  for (auto& [number, timer] : timers_) loop_.cancel(timer);
}

void Worker::start() {
  up_ = true, overloaded_ = false, fault_.reset();
  started_ = busy_updated_ = loop_.now(), warm_at_ = started_ + s_.cold_for;
  boot_id_ = fmt::format("{}-{}-{}", s_.name, ++boot_count_, (started_ - Instant{}).micros());
  counts_.clear(), arrivals_.clear(), busy_log_.clear(), busy_seconds_ = 0;
  listen();
  recorder_.write(loop_.now(), "start",
                  {{"worker", s_.name},
                   {"at", s_.endpoint.text()},
                   {"cold", boot_count_ > 1},
                   {"cores", s_.cores * s_.speed}});
}

void Worker::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, s_.endpoint, [this](net::Fd fd, const Endpoint& from) {
    const std::uint64_t number = ++number_;
    auto peer = std::make_shared<ClientConnection>();
    peers_[number] = peer;
    peer->connection = net::Connection::make(
        loop_, std::move(fd), {64U << 10U, 1U << 20U, Span::seconds(60)},
        [this, weak = std::weak_ptr{peer}, source = from.address](std::string_view bytes) -> std::size_t {
          const auto strong = weak.lock();
          if (!strong) return bytes.size();
          const std::size_t used = strong->reader.feed(bytes);
          if (!strong->reader.error().empty()) {
            strong->connection->abort();
            return bytes.size();
          }
          if (const auto got = strong->reader.take()) request(strong->connection, source, *got);
          return used;
        },
        [this, number](const char*) { peers_.erase(number); });
  });
}

void Worker::crash() {
  if (!up_) return;
  recorder_.write(loop_.now(), "down", {{"worker", s_.name}});
  update_busy_time();
  up_ = false, fault_.reset();
  listener_.reset();
  for (auto& [number, timer] : timers_) loop_.cancel(timer);
  timers_.clear(), running_.clear(), queue_.clear();
  for (const auto& [number, peer] : std::exchange(peers_, {})) peer->connection->abort();
}

void Worker::inject_fault(InjectedFaultKind kind, double size) {
  if (!up_) return;
  fault_ = kind, fault_size_ = size;
  if (kind == InjectedFaultKind::drain) drain_started_ = loop_.now();
  if (kind == InjectedFaultKind::hang || kind == InjectedFaultKind::silent) {
    for (auto& [number, timer] : timers_) loop_.cancel(timer);
    timers_.clear();
  }
}

void Worker::recover() {
  if (!up_ || !fault_) return;
  const InjectedFaultKind was = *fault_;
  fault_.reset();
  if (was == InjectedFaultKind::silent) {
    crash();
    start();
  } else if (was == InjectedFaultKind::hang) {
    // Invocations that hung are lost, since their callers have timed out and closed their connections.
    update_busy_time();
    for (const auto& [number, job] : std::exchange(running_, {}))
      if (const auto c = job.connection.lock()) c->abort();
    queue_.clear();
    std::erase_if(peers_, [](const auto& row) { return !row.second->connection->open(); });
  }
  start_queued();
}

double Worker::capacity_factor() const {
  if (loop_.now() >= warm_at_) return 1;
  return s_.cold_from + (1 - s_.cold_from) * (loop_.now() - started_).seconds() / s_.cold_for.seconds();
}

// A cold worker that receives more than `tip_multiple` times its capacity within `tip_after` crashes and does
// not restart.
void Worker::check_overload(double work) {
  const Instant now = loop_.now();
  arrivals_.emplace_back(now, work);
  while (now - arrivals_.front().first > s_.tip_after) arrivals_.pop_front();
  if (capacity_factor() >= 1) return;
  double sum = 0;
  for (const auto& [at, w] : arrivals_) sum += w;
  if (sum <= s_.tip_multiple * capacity_factor() * s_.cores * s_.speed * s_.tip_after.seconds()) return;
  recorder_.write(now, "fell", {{"worker", s_.name}});
  overloaded_ = true;
  loop_.call_soon([this] { crash(); });
}

void Worker::request(const std::shared_ptr<net::Connection>& connection, const Address& from,
                     const net::Request& request) {
  if (!up_ || fault_ == InjectedFaultKind::silent) return;
  if (request.target == "/load") {
    const auto reply =
        net::write(net::Response{200, {{"Content-Type", "application/json"}}, load_report(), true});
    // A delayed report describes the state at the time of the request.
    if (fault_ == InjectedFaultKind::late_reports) {
      loop_.after(Span::seconds(fault_size_), [weak = std::weak_ptr{connection}, reply] {
        if (const auto c = weak.lock(); c && c->open()) c->send(reply);
      });
      return;
    }
    connection->send(reply);
    return;
  }
  if (request.target == "/health") {
    if (fault_ == InjectedFaultKind::hang) return;
    Job job{connection, -1, "", {}, kHealthCheckWorkSeconds, loop_.now()};
    queue_.push_back(std::move(job));
    return start_queued();
  }
  for (std::size_t k = 0; k < s_.operations.size(); ++k)
    if (request.target == "/invoke/" + s_.operations[k].name)
      return invoke(connection, from, static_cast<int>(k), request);
  connection->send(net::write(net::Response{404, {}, "no such operation\n", true}));
}

void Worker::invoke(const std::shared_ptr<net::Connection>& connection, const Address& from, int operation,
                    const net::Request& request) {
  Job job{connection, operation, request.body, {masked(from, 24), 24}, 0, loop_.now()};
  const auto& settings = s_.operations[static_cast<std::size_t>(operation)];
  // Uniform between 0.6 and 1.4 times the mean.
  job.work = settings.work.seconds() * std::uniform_real_distribution<>{0.6, 1.4}(random_);
  Counts& counts = counts_[{operation, job.source}];
  const bool draining = fault_ == InjectedFaultKind::drain && loop_.now() - drain_started_ > s_.drain_grace;
  const bool refused = draining || fault_ == InjectedFaultKind::refuse ||
                       queue_.size() >= static_cast<std::size_t>(s_.queue_most);
  recorder_.write(
      loop_.now(), "arrived",
      {{"worker", s_.name}, {"id", job.id}, {"work", refused ? 0 : job.work}, {"refused", refused}});
  if (refused) {
    ++counts.refused;
    return answer(job, 503, true);
  }
  ++counts.accepted;
  if (fault_ == InjectedFaultKind::errors && std::uniform_real_distribution<>{}(random_) < fault_size_) {
    ++counts.errored;
    return answer(job, 500);
  }
  check_overload(job.work);
  queue_.push_back(std::move(job));
  start_queued();
}

void Worker::update_busy_time() {
  const Instant now = loop_.now();
  busy_seconds_ += static_cast<double>(running_.size()) * (now - busy_updated_).seconds();
  busy_updated_ = now;
  busy_log_.emplace_back(now, busy_seconds_);
  while (busy_log_.size() > 2 && now - busy_log_[1].first >= kUtilizationWindow) busy_log_.pop_front();
}

void Worker::start_queued() {
  update_busy_time();
  if (fault_ == InjectedFaultKind::hang || fault_ == InjectedFaultKind::silent) return;
  while (!queue_.empty() && static_cast<double>(running_.size()) < s_.cores) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    const auto connection = job.connection.lock();
    if (!connection || !connection->open()) {
      // The caller disconnected while it was queued: dropped without running.
      if (job.operation >= 0) ++counts_[{job.operation, job.source}].errored;
      continue;
    }
    const std::uint64_t number = ++number_;
    double duration = job.work / (s_.speed * capacity_factor());
    if (fault_ == InjectedFaultKind::slow || fault_ == InjectedFaultKind::ageing) duration *= fault_size_;
    if (job.operation >= 0)
      recorder_.write(loop_.now(), "began",
                      {{"worker", s_.name},
                       {"id", job.id},
                       {"operation", s_.operations[static_cast<std::size_t>(job.operation)].name}});
    running_[number] = std::move(job);
    timers_[number] = loop_.after(Span::seconds(duration), [this, number] { finish(number); });
  }
}

void Worker::finish(std::uint64_t number) {
  update_busy_time();
  const auto it = running_.find(number);
  if (it == running_.end()) return;
  const Job job = std::move(it->second);
  running_.erase(it), timers_.erase(number);
  if (job.operation >= 0) {
    Counts& counts = counts_[{job.operation, job.source}];
    ++counts.succeeded;
    counts.latency += (loop_.now() - job.arrived_at).seconds();
  }
  answer(job, 200);
  start_queued();
}

void Worker::answer(const Job& job, unsigned status, bool never_ran) {
  const auto connection = job.connection.lock();
  if (!connection || !connection->open()) return;
  net::Response response{status, {}, "", true};
  if (never_ran) response.headers.emplace_back(kNeverRan, "yes");
  connection->send(net::write(response));
}

std::string Worker::load_report() {
  update_busy_time();
  const auto& [from, was] = busy_log_.front();
  const double window = (loop_.now() - from).seconds();
  const double util = window > 0.05 ? (busy_seconds_ - was) / window / s_.cores
                                    : static_cast<double>(running_.size()) / s_.cores;
  nlohmann::json out{
      {"boot", boot_id_},
      {"uptime_s", (loop_.now() - started_).seconds() + (warm_at_ == started_ ? 1e6 : 0)},
      {"state", fault_ == InjectedFaultKind::drain ? "draining" : "ready"},
      {"util", std::min(1.0, util * (fault_ == InjectedFaultKind::false_reports ? fault_size_ : 1))},
      {"queue", queue_.size()},
      {"counts", nlohmann::json::array()}};
  for (const auto& [key, c] : counts_)
    out["counts"].push_back({{"operation", s_.operations[static_cast<std::size_t>(key.first)].name},
                             {"source", key.second.text()},
                             {"taken", c.accepted},
                             {"succeeded", c.succeeded},
                             {"errored", c.errored},
                             {"refused", c.refused},
                             {"latency_s", c.latency}});
  return out.dump();
}

}  // namespace gorsemount::standins

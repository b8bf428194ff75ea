#include "standins/worker.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gorsemount::standins {

namespace {

constexpr double kHealthWork = 0.002;  // s: a health call goes through the queue like any other work
const Span kLoadOver = Span::seconds(0.5);
const char* const kNeverRan = "Never-Ran";  // on a refusal: proof that nothing was begun

}  // namespace

struct Worker::Peer {
  std::shared_ptr<net::Connection> connection;
  net::HttpReader<net::Request> reader;
};

Worker::Worker(net::Loop& loop, Recorder& recorder, WorkerSettings settings, std::uint64_t seed, bool cold)
    : loop_{loop}, recorder_{recorder}, s_{std::move(settings)}, chance_{static_cast<std::uint32_t>(seed)} {
  start();
  if (!cold) warm_at_ = loop_.now();
}

Worker::~Worker() {
  for (auto& [number, timer] : timers_) loop_.cancel(timer);
}

void Worker::start() {
  up_ = true, fallen_ = false, trouble_.reset();
  started_ = accounted_ = loop_.now(), warm_at_ = started_ + s_.cold_for;
  boot_ = fmt::format("{}-{}-{}", s_.name, ++boots_, (started_ - Instant{}).micros());
  counts_.clear(), brought_.clear(), busy_log_.clear(), busy_ = 0;
  listen();
  recorder_.write(
      loop_.now(), "start",
      {{"worker", s_.name}, {"at", s_.at.text()}, {"cold", boots_ > 1}, {"cores", s_.cores * s_.speed}});
}

void Worker::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, s_.at, [this](net::Fd fd, const Endpoint& from) {
    const std::uint64_t number = ++number_;
    auto peer = std::make_shared<Peer>();
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
  account();
  up_ = false, trouble_.reset();
  listener_.reset();
  for (auto& [number, timer] : timers_) loop_.cancel(timer);
  timers_.clear(), running_.clear(), queue_.clear();
  for (const auto& [number, peer] : std::exchange(peers_, {})) peer->connection->abort();
}

void Worker::trouble(InjectedFaultKind kind, double size) {
  if (!up_) return;
  trouble_ = kind, trouble_size_ = size;
  if (kind == InjectedFaultKind::drain) drained_ = loop_.now();
  if (kind == InjectedFaultKind::hang || kind == InjectedFaultKind::silent) {
    for (auto& [number, timer] : timers_) loop_.cancel(timer);
    timers_.clear();
  }
}

void Worker::recover() {
  if (!up_ || !trouble_) return;
  const InjectedFaultKind was = *trouble_;
  trouble_.reset();
  if (was == InjectedFaultKind::silent) {
    crash();
    start();
  } else if (was == InjectedFaultKind::hang) {
    // What hung is lost: its callers have left, and their connections with it.
    account();
    for (const auto& [number, job] : std::exchange(running_, {}))
      if (const auto c = job.connection.lock()) c->abort();
    queue_.clear();
    std::erase_if(peers_, [](const auto& row) { return !row.second->connection->open(); });
  }
  pump();
}

double Worker::warmth() const {
  if (loop_.now() >= warm_at_) return 1;
  return s_.cold_from + (1 - s_.cold_from) * (loop_.now() - started_).seconds() / s_.cold_for.seconds();
}

// Rule 4: more than the multiple of what it can do, for long enough, and it falls over and stays down.
void Worker::brought(double work) {
  const Instant now = loop_.now();
  brought_.emplace_back(now, work);
  while (now - brought_.front().first > s_.tip_after) brought_.pop_front();
  if (warmth() >= 1) return;
  double sum = 0;
  for (const auto& [at, w] : brought_) sum += w;
  if (sum <= s_.tip_multiple * warmth() * s_.cores * s_.speed * s_.tip_after.seconds()) return;
  recorder_.write(now, "fell", {{"worker", s_.name}});
  fallen_ = true;
  loop_.call_soon([this] { crash(); });
}

void Worker::request(const std::shared_ptr<net::Connection>& connection, const Address& from,
                     const net::Request& request) {
  if (!up_ || trouble_ == InjectedFaultKind::silent) return;
  if (request.target == "/load") {
    const auto reply = net::write(net::Response{200, {{"Content-Type", "application/json"}}, load(), true});
    // What is slow to tell, tells of the past.
    if (trouble_ == InjectedFaultKind::late_reports) {
      loop_.after(Span::seconds(trouble_size_), [weak = std::weak_ptr{connection}, reply] {
        if (const auto c = weak.lock(); c && c->open()) c->send(reply);
      });
      return;
    }
    connection->send(reply);
    return;
  }
  if (request.target == "/health") {
    if (trouble_ == InjectedFaultKind::hang) return;
    Job job{connection, -1, "", {}, kHealthWork, loop_.now()};
    queue_.push_back(std::move(job));
    return pump();
  }
  for (std::size_t k = 0; k < s_.operations.size(); ++k)
    if (request.target == "/invoke/" + s_.operations[k].name)
      return invoke(connection, from, static_cast<int>(k), request);
  connection->send(net::write(net::Response{404, {}, "no such operation\n", true}));
}

void Worker::invoke(const std::shared_ptr<net::Connection>& connection, const Address& from, int operation,
                    const net::Request& request) {
  Job job{connection, operation, request.body, {masked(from, 24), 24}, 0, loop_.now()};
  const auto& op = s_.operations[static_cast<std::size_t>(operation)];
  // Half to twice the mean, as most real work spreads.
  job.work = op.work.seconds() * std::uniform_real_distribution<>{0.6, 1.4}(chance_);
  Counts& counts = counts_[{operation, job.source}];
  const bool draining = trouble_ == InjectedFaultKind::drain && loop_.now() - drained_ > s_.drain_grace;
  const bool refused = draining || trouble_ == InjectedFaultKind::refuse ||
                       queue_.size() >= static_cast<std::size_t>(s_.queue_most);
  recorder_.write(
      loop_.now(), "arrived",
      {{"worker", s_.name}, {"id", job.id}, {"work", refused ? 0 : job.work}, {"refused", refused}});
  if (refused) {
    ++counts.refused;
    return answer(job, 503, true);
  }
  ++counts.taken;
  if (trouble_ == InjectedFaultKind::errors && std::uniform_real_distribution<>{}(chance_) < trouble_size_) {
    ++counts.errored;
    return answer(job, 500);
  }
  brought(job.work);
  queue_.push_back(std::move(job));
  pump();
}

void Worker::account() {
  const Instant now = loop_.now();
  busy_ += static_cast<double>(running_.size()) * (now - accounted_).seconds();
  accounted_ = now;
  busy_log_.emplace_back(now, busy_);
  while (busy_log_.size() > 2 && now - busy_log_[1].first >= kLoadOver) busy_log_.pop_front();
}

void Worker::pump() {
  account();
  if (trouble_ == InjectedFaultKind::hang || trouble_ == InjectedFaultKind::silent) return;
  while (!queue_.empty() && static_cast<double>(running_.size()) < s_.cores) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    const auto connection = job.connection.lock();
    if (!connection || !connection->open()) {
      // Its caller has left before it began: dropped, and it never ran.
      if (job.operation >= 0) ++counts_[{job.operation, job.source}].errored;
      continue;
    }
    const std::uint64_t number = ++number_;
    double takes = job.work / (s_.speed * warmth());
    if (trouble_ == InjectedFaultKind::slow || trouble_ == InjectedFaultKind::ageing) takes *= trouble_size_;
    if (job.operation >= 0)
      recorder_.write(loop_.now(), "began",
                      {{"worker", s_.name},
                       {"id", job.id},
                       {"operation", s_.operations[static_cast<std::size_t>(job.operation)].name}});
    running_[number] = std::move(job);
    timers_[number] = loop_.after(Span::seconds(takes), [this, number] { finish(number); });
  }
}

void Worker::finish(std::uint64_t number) {
  account();
  const auto it = running_.find(number);
  if (it == running_.end()) return;
  const Job job = std::move(it->second);
  running_.erase(it), timers_.erase(number);
  if (job.operation >= 0) {
    Counts& counts = counts_[{job.operation, job.source}];
    ++counts.succeeded;
    counts.latency += (loop_.now() - job.came).seconds();
  }
  answer(job, 200);
  pump();
}

void Worker::answer(const Job& job, unsigned status, bool never_ran) {
  const auto connection = job.connection.lock();
  if (!connection || !connection->open()) return;
  net::Response response{status, {}, "", true};
  if (never_ran) response.headers.emplace_back(kNeverRan, "yes");
  connection->send(net::write(response));
}

std::string Worker::load() {
  account();
  const auto& [from, was] = busy_log_.front();
  const double over = (loop_.now() - from).seconds();
  const double util =
      over > 0.05 ? (busy_ - was) / over / s_.cores : static_cast<double>(running_.size()) / s_.cores;
  nlohmann::json out{
      {"boot", boot_},
      {"uptime_s", (loop_.now() - started_).seconds() + (warm_at_ == started_ ? 1e6 : 0)},
      {"state", trouble_ == InjectedFaultKind::drain ? "draining" : "ready"},
      {"util", std::min(1.0, util * (trouble_ == InjectedFaultKind::false_reports ? trouble_size_ : 1))},
      {"queue", queue_.size()},
      {"counts", nlohmann::json::array()}};
  for (const auto& [key, c] : counts_)
    out["counts"].push_back({{"operation", s_.operations[static_cast<std::size_t>(key.first)].name},
                             {"source", key.second.text()},
                             {"taken", c.taken},
                             {"succeeded", c.succeeded},
                             {"errored", c.errored},
                             {"refused", c.refused},
                             {"latency_s", c.latency}});
  return out.dump();
}

}  // namespace gorsemount::standins

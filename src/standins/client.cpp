#include "standins/client.hpp"

#include <algorithm>

namespace gorsemount::standins {

namespace {

const Span kDnsTimeout = Span::seconds(0.3);
constexpr std::uint16_t kWorkerPort = 9000;
constexpr double kTryTimeoutShare = 0.7;  // share of the integration timeout that one try may take
constexpr double kStaleTtlFactor = 10;    // multiple of the TTL, for a client that ignores it

}  // namespace

Client::Client(net::Loop& loop, Recorder& recorder, ClientSettings settings, std::uint64_t seed)
    : loop_{loop}, recorder_{recorder}, s_{std::move(settings)}, random_{static_cast<std::uint32_t>(seed)} {
  for (std::size_t k = 0; k < s_.operations.size(); ++k)
    resolvers_.push_back(std::make_unique<Resolver>(loop_, s_.address, s_.servers, kDnsTimeout, kWorkerPort));
  caches_.resize(s_.operations.size());
  schedule_next();
}

Client::~Client() { loop_.cancel(timer_); }

void Client::set_rate_factor(double factor) {
  rate_factor_ = factor;
  loop_.cancel(timer_);
  schedule_next();
}

void Client::schedule_next() {
  if (s_.rate * rate_factor_ <= 0) return;
  const double wait = std::exponential_distribution<>{s_.rate * rate_factor_}(random_);
  timer_ = loop_.after(Span::seconds(wait), [this] {
    invoke();
    schedule_next();
  });
}

void Client::invoke() {
  std::vector<double> shares;
  for (const auto& operation : s_.operations) shares.push_back(operation.share);
  const std::uint64_t number = ++number_;
  Invocation& invocation = open_[number];
  invocation.id = s_.name + "-" + std::to_string(number), invocation.started_at = loop_.now();
  invocation.operation = std::discrete_distribution<std::size_t>{shares.begin(), shares.end()}(random_);
  recorder_.write(
      loop_.now(), "asked",
      {{"id", invocation.id}, {"operation", s_.operations[invocation.operation].name}, {"zone", s_.zone}});
  resolve_and_send(number);
}

void Client::resolve_and_send(std::uint64_t number) {
  Invocation& invocation = open_.at(number);
  if (s_.forwarder) return send(number, *s_.forwarder);
  Cache& cache = caches_[invocation.operation];
  if (loop_.now() >= cache.expires_at) {
    cache.waiting.push_back(number);
    return start_lookup(invocation.operation);
  }
  const Target* target = select_target(cache, invocation);
  if (target == nullptr) return finish(number, "no_line");
  send(number, target->at);
}

void Client::start_lookup(std::size_t operation) {
  Cache& cache = caches_[operation];
  if (std::exchange(cache.lookup_pending, true)) return;
  const std::string& operation_name = s_.operations[operation].name;
  const std::string name =
      s_.by_address ? operation_name + "." + s_.origin : "_" + operation_name + "._tcp." + s_.origin;
  resolvers_[operation]->query(name, !s_.by_address, [this, operation, began = loop_.now()](Answer answer) {
    Cache& entry = caches_[operation];
    entry.lookup_pending = false;
    auto listed = nlohmann::ordered_json::array();
    for (const auto& t : answer.targets) listed.push_back(t.at.text());
    recorder_.write(loop_.now(), "lookup",
                    {{"client", s_.name},
                     {"zone", s_.zone},
                     {"operation", s_.operations[operation].name},
                     {"lines", answer.targets.size()},
                     {"listed", std::move(listed)},
                     {"srv", !s_.by_address},
                     {"answered", answer.answered},
                     {"limited", answer.rate_limited},
                     {"lifetime", answer.ttl.seconds()},
                     {"took", (loop_.now() - began).seconds()}});
    const auto waiting = std::exchange(entry.waiting, {});
    if (answer.targets.empty()) {
      // An expired answer is never used, even if the lookup failed.
      for (const auto number : waiting) finish(number, answer.rate_limited ? "rate_limited" : "no_line");
      return;
    }
    entry.targets = std::move(answer.targets);
    // An answer with a TTL of 0 still serves the invocations that waited for it (RFC 1035, section 3.2.1).
    entry.expires_at = began + answer.ttl * (s_.honours_ttl ? 1 : kStaleTtlFactor);
    const Instant expires_at = entry.expires_at;
    entry.expires_at = loop_.now() + Span::micros(1);
    for (const auto number : waiting)
      if (open_.contains(number)) resolve_and_send(number);
    entry.expires_at = expires_at;
  });
}

// Selects as in RFC 2782: among the targets of the lowest priority, at random in proportion to weight.
// Targets that this invocation has tried before are excluded while others are left.
const Target* Client::select_target(const Cache& cache, const Invocation& invocation) {
  std::vector<const Target*> candidates;
  for (const bool fresh : {true, false}) {
    for (const auto& t : cache.targets)
      if (!fresh ||
          std::find(invocation.tried.begin(), invocation.tried.end(), t.at) == invocation.tried.end())
        candidates.push_back(&t);
    if (!candidates.empty()) break;
  }
  if (candidates.empty()) return nullptr;
  unsigned lowest = candidates.front()->priority;
  for (const auto* t : candidates) lowest = std::min(lowest, t->priority);
  std::erase_if(candidates, [&](const Target* t) { return t->priority != lowest; });
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (const auto* t : candidates) weights.push_back(std::max(0.001, t->weight));
  return candidates[std::discrete_distribution<std::size_t>{weights.begin(), weights.end()}(random_)];
}

void Client::send(std::uint64_t number, const Endpoint& to) {
  Invocation& invocation = open_.at(number);
  ++invocation.tries, invocation.tried.push_back(to);
  if (!s_.forwarder)
    recorder_.write(loop_.now(), "sent",
                    {{"id", invocation.id}, {"to", to.text()}, {"obeys", s_.honours_ttl}});
  auto& idle = pool_[to];
  std::unique_ptr<net::HttpClient> http;
  if (idle.empty()) {
    http = std::make_unique<net::HttpClient>(loop_, to, s_.address);
  } else {
    http = std::move(idle.back());
    idle.pop_back();
  }
  const auto& operation = s_.operations[invocation.operation];
  const Span remaining = operation.integration_timeout - (loop_.now() - invocation.started_at);
  auto* raw = http.get();
  auto held = std::make_shared<std::unique_ptr<net::HttpClient>>(std::move(http));
  raw->send(
      {"POST", "/invoke/" + operation.name, {}, invocation.id, true},
      std::max(Span::seconds(0.001), std::min(remaining, operation.integration_timeout * kTryTimeoutShare)),
      [this, number, to, held](const net::HttpClient::Result& result) {
        if (result.outcome == net::HttpClient::Outcome::answered) {
          pool_[to].push_back(std::move(*held));
        } else {
          // Deferred, since the client must not be destroyed within its own callback.
          loop_.call_soon([gone = std::make_shared<std::unique_ptr<net::HttpClient>>(std::move(*held))] {});
        }
        on_reply(number, to, result);
      });
}

void Client::on_reply(std::uint64_t number, const Endpoint&, const net::HttpClient::Result& result) {
  const auto it = open_.find(number);
  if (it == open_.end()) return;
  Invocation& invocation = it->second;
  const auto& operation = s_.operations[invocation.operation];
  const Span latency = loop_.now() - invocation.started_at;
  if (result.outcome == net::HttpClient::Outcome::answered && result.response.status == 200)
    return finish(number, latency <= operation.latency_objective ? "succeeded" : "late");
  // It provably never ran if no connection was made or the worker's response says so.
  const bool never_ran = !result.sent || (result.outcome == net::HttpClient::Outcome::answered &&
                                          result.response.header("Never-Ran") != nullptr);
  const bool may_retry = never_ran || operation.may_repeat() || s_.retry_all;
  if (result.outcome == net::HttpClient::Outcome::answered && result.response.status == 429)
    return finish(number, "rate_limited");
  if (may_retry && invocation.tries < 2 && latency < operation.integration_timeout * 0.9)
    return resolve_and_send(number);
  finish(number, "errored");
}

void Client::finish(std::uint64_t number, const char* outcome) {
  const auto it = open_.find(number);
  if (it == open_.end()) return;
  recorder_.write(loop_.now(), "done",
                  {{"id", it->second.id},
                   {"operation", s_.operations[it->second.operation].name},
                   {"outcome", outcome},
                   {"took", (loop_.now() - it->second.started_at).seconds()}});
  open_.erase(it);
}

}  // namespace gorsemount::standins

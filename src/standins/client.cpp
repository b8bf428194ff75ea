#include "standins/client.hpp"

#include <algorithm>

namespace gorsemount::standins {

namespace {

const Span kPatience = Span::seconds(0.3);  // with a DNS server that says nothing
constexpr std::uint16_t kPort = 9000;
constexpr double kGiveUp = 0.7;  // of the integration timeout, for one try
constexpr double kTooLong = 10;  // times the lifetime, for a client that does not obey

}  // namespace

Client::Client(net::Loop& loop, Recorder& recorder, ClientSettings settings, std::uint64_t seed)
    : loop_{loop}, recorder_{recorder}, s_{std::move(settings)}, chance_{static_cast<std::uint32_t>(seed)} {
  for (std::size_t k = 0; k < s_.operations.size(); ++k)
    resolvers_.push_back(std::make_unique<Resolver>(loop_, s_.at, s_.servers, kPatience, kPort));
  caches_.resize(s_.operations.size());
  next();
}

Client::~Client() { loop_.cancel(next_); }

void Client::pace(double times) {
  pace_ = times;
  loop_.cancel(next_);
  next();
}

void Client::next() {
  if (s_.rate * pace_ <= 0) return;
  const double wait = std::exponential_distribution<>{s_.rate * pace_}(chance_);
  next_ = loop_.after(Span::seconds(wait), [this] {
    invoke();
    next();
  });
}

void Client::invoke() {
  std::vector<double> shares;
  for (const auto& op : s_.operations) shares.push_back(op.share);
  const std::uint64_t number = ++number_;
  Invocation& inv = open_[number];
  inv.id = s_.name + "-" + std::to_string(number), inv.came = loop_.now();
  inv.operation = std::discrete_distribution<std::size_t>{shares.begin(), shares.end()}(chance_);
  recorder_.write(loop_.now(), "asked",
                  {{"id", inv.id}, {"operation", s_.operations[inv.operation].name}, {"zone", s_.zone}});
  with_answer(number);
}

void Client::with_answer(std::uint64_t number) {
  Invocation& inv = open_.at(number);
  if (s_.via) return send(number, *s_.via);
  Cache& cache = caches_[inv.operation];
  if (loop_.now() >= cache.until) {
    cache.waiting.push_back(number);
    return look_up(inv.operation);
  }
  const Target* target = pick(cache, inv);
  if (target == nullptr) return done(number, "no_line");
  send(number, target->at);
}

void Client::look_up(std::size_t operation) {
  Cache& cache = caches_[operation];
  if (std::exchange(cache.asking, true)) return;
  const std::string& op = s_.operations[operation].name;
  const std::string name = s_.by_address ? op + "." + s_.origin : "_" + op + "._tcp." + s_.origin;
  resolvers_[operation]->ask(name, !s_.by_address, [this, operation, began = loop_.now()](Answer answer) {
    Cache& to = caches_[operation];
    to.asking = false;
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
                     {"limited", answer.unavailable},
                     {"lifetime", answer.lifetime.seconds()},
                     {"took", (loop_.now() - began).seconds()}});
    const auto waiting = std::exchange(to.waiting, {});
    if (answer.targets.empty()) {
      // An answer that has run out is not used again, however bad the times.
      for (const auto number : waiting) done(number, answer.unavailable ? "rate_limited" : "no_line");
      return;
    }
    to.targets = std::move(answer.targets);
    // A lifetime of 0 serves those that waited for it (RFC 1035, section 3.2.1).
    to.until = began + answer.lifetime * (s_.obeys ? 1 : kTooLong);
    const Instant until = to.until;
    to.until = loop_.now() + Span::micros(1);
    for (const auto number : waiting)
      if (open_.contains(number)) with_answer(number);
    to.until = until;
  });
}

// RFC 2782: among the lowest priority, by chance in proportion to weight; one that failed this invocation
// before is passed over while another is left.
const Target* Client::pick(const Cache& cache, const Invocation& inv) {
  std::vector<const Target*> left;
  for (const bool fresh : {true, false}) {
    for (const auto& t : cache.targets)
      if (!fresh || std::find(inv.tried.begin(), inv.tried.end(), t.at) == inv.tried.end())
        left.push_back(&t);
    if (!left.empty()) break;
  }
  if (left.empty()) return nullptr;
  unsigned lowest = left.front()->priority;
  for (const auto* t : left) lowest = std::min(lowest, t->priority);
  std::erase_if(left, [&](const Target* t) { return t->priority != lowest; });
  std::vector<double> weights;
  for (const auto* t : left) weights.push_back(std::max(0.001, t->weight));
  return left[std::discrete_distribution<std::size_t>{weights.begin(), weights.end()}(chance_)];
}

void Client::send(std::uint64_t number, const Endpoint& to) {
  Invocation& inv = open_.at(number);
  ++inv.tries, inv.tried.push_back(to);
  if (!s_.via) recorder_.write(loop_.now(), "sent", {{"id", inv.id}, {"to", to.text()}, {"obeys", s_.obeys}});
  auto& idle = pool_[to];
  std::unique_ptr<net::HttpClient> http;
  if (idle.empty()) {
    http = std::make_unique<net::HttpClient>(loop_, to, s_.at);
  } else {
    http = std::move(idle.back());
    idle.pop_back();
  }
  const auto& op = s_.operations[inv.operation];
  const Span left = op.integration_timeout - (loop_.now() - inv.came);
  auto* raw = http.get();
  auto held = std::make_shared<std::unique_ptr<net::HttpClient>>(std::move(http));
  raw->send(
      {"POST", "/invoke/" + op.name, {}, inv.id, true},
      std::max(Span::seconds(0.001), std::min(left, op.integration_timeout * kGiveUp)),
      [this, number, to, held](net::HttpClient::Result result) {
        if (result.outcome == net::HttpClient::Outcome::answered) {
          pool_[to].push_back(std::move(*held));
        } else {
          // Not from within its own call.
          loop_.call_soon([gone = std::make_shared<std::unique_ptr<net::HttpClient>>(std::move(*held))] {});
        }
        replied(number, to, result);
      });
}

void Client::replied(std::uint64_t number, const Endpoint&, const net::HttpClient::Result& result) {
  const auto it = open_.find(number);
  if (it == open_.end()) return;
  Invocation& inv = it->second;
  const auto& op = s_.operations[inv.operation];
  const Span took = loop_.now() - inv.came;
  if (result.outcome == net::HttpClient::Outcome::answered && result.response.status == 200)
    return done(number, took <= op.latency_objective ? "succeeded" : "late");
  // Proof that it never ran: no connection stood, or the worker says so.
  const bool proof = !result.sent || (result.outcome == net::HttpClient::Outcome::answered &&
                                      result.response.header("Never-Ran") != nullptr);
  const bool may = proof || op.may_repeat() || s_.repeat_all;
  if (result.outcome == net::HttpClient::Outcome::answered && result.response.status == 429)
    return done(number, "rate_limited");
  if (may && inv.tries < 2 && took < op.integration_timeout * 0.9) return with_answer(number);
  done(number, "errored");
}

void Client::done(std::uint64_t number, const char* outcome) {
  const auto it = open_.find(number);
  if (it == open_.end()) return;
  recorder_.write(loop_.now(), "done",
                  {{"id", it->second.id},
                   {"operation", s_.operations[it->second.operation].name},
                   {"outcome", outcome},
                   {"took", (loop_.now() - it->second.came).seconds()}});
  open_.erase(it);
}

}  // namespace gorsemount::standins

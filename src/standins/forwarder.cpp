#include "standins/forwarder.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gorsemount::standins {

using forwarders::ServerState;

namespace {

constexpr int kMaxConsecutiveFailures = 4;  // then the worker is avoided for kAvoidTime
const Span kAvoidTime = Span::seconds(3);
const Span kCommandPause = Span::seconds(40e-6);  // of forwarding, for each command that changes the table

}  // namespace

struct Forwarder::ClientConnection {
  std::shared_ptr<net::Connection> connection;
  net::HttpReader<net::Request> reader;
};

struct Forwarder::Call {
  std::weak_ptr<net::Connection> connection;
  std::size_t operation = 0;
  std::string id;
  Instant arrived_at;
  int tries = 0;
  std::vector<std::string> tried;
};

Forwarder::Forwarder(net::Loop& loop, Recorder& recorder, ForwarderSettings settings, std::uint64_t seed)
    : loop_{loop},
      recorder_{recorder},
      s_{std::move(settings)},
      random_{static_cast<std::uint32_t>(seed)},
      runtime_{loop,
               [this](std::uint64_t peer, const std::string& text, const std::string&) {
                 return command(peer, text);
               },
               {}} {
  runtime_.on_disconnect([this](std::uint64_t peer) {
    terms_.erase(peer), leaders_.erase(peer);
    if (leader_streams_.erase(peer) > 0) recorder_.write(loop_.now(), "left", {{"forwarder", s_.name}});
  });
  configure();
  listen();
  runtime_.listen(s_.runtime);
}

Forwarder::~Forwarder() = default;

void Forwarder::configure() {
  started_ = loop_.now();
  highest_term_ = 0;  // process variables are lost on a restart
  lines_.clear(), variables_.clear(), arrived_.clear(), retries_.clear(), tokens_.clear(),
      retry_limiter_ = {};
  for (const auto& operation : s_.operations)
    for (const auto& line : s_.initial_servers)
      lines_[{operation.name, line.name}].held = {line.at, 100, ServerState::ready};
}

void Forwarder::restart() {
  break_streams();
  for (const auto& [number, peer] : std::exchange(peers_, {})) peer->connection->abort();
  configure();
  recorder_.write(loop_.now(), "forwarder_start", {{"forwarder", s_.name}});
}

void Forwarder::break_streams() { runtime_.disconnect_all(); }

void Forwarder::cut_after(std::size_t bytes, std::function<void(const std::string&)> then) {
  cut_after_bytes_ = bytes, cut_callback_ = std::move(then);
}

void Forwarder::inject_fault(std::optional<InjectedFaultKind> kind) {
  const bool slow = kind == InjectedFaultKind::forwarder_slow;
  if ((fault_ == InjectedFaultKind::forwarder_slow) != slow) runtime_.set_paused(slow);
  fault_ = kind;
}

void Forwarder::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, s_.listen, [this](net::Fd fd, const Endpoint&) {
    const std::uint64_t number = ++number_;
    auto peer = std::make_shared<ClientConnection>();
    peers_[number] = peer;
    net::Connection::Limits limits{64U << 10U, 1U << 20U, Span::seconds(60)};
    limits.discard_after_close = true;  // nobody waits for the answers
    peer->connection = net::Connection::make(
        loop_, std::move(fd), limits,
        [this, weak = std::weak_ptr{peer}](std::string_view bytes) -> std::size_t {
          const auto strong = weak.lock();
          if (!strong) return bytes.size();
          const std::size_t used = strong->reader.feed(bytes);
          if (!strong->reader.error().empty()) {
            strong->connection->abort();
            return bytes.size();
          }
          if (const auto got = strong->reader.take()) request(strong->connection, *got);
          return used;
        },
        [this, number](const char*) { peers_.erase(number); });
  });
}

// ---- Runtime socket ------------------------------------------------------------------------------------

std::string Forwarder::command(std::uint64_t peer, const std::string& text) {
  const auto words = runtime_api::split_words(text);
  const auto is = [&](std::initializer_list<const char*> start) {
    return words.size() >= start.size() && std::equal(start.begin(), start.end(), words.begin());
  };
  if (is({"show", "info"}))
    return fmt::format("Name: HAProxy\nVersion: stand-in\nUptime_sec: {:.0f}\nnode: {}\n",
                       (loop_.now() - started_).seconds(), s_.name);
  if (is({"show", "servers", "state"})) {
    if (leader_streams_.insert(peer).second) recorder_.write(loop_.now(), "joined", {{"forwarder", s_.name}});
    const std::string whole = servers_state();
    return fault_ == InjectedFaultKind::forwarder_half ? whole.substr(0, whole.size() * 5 / 8) : whole;
  }
  if (is({"show", "stat"})) return stat();
  if (is({"get", "var", "proc.gm_term"}))
    return highest_term_ == 0 ? "proc.gm_term: undefined variable or value not set\n"
                              : fmt::format("proc.gm_term: type=sint value=<{}>\n", highest_term_);
  const bool changes = is({"set"}) || is({"add"}) || is({"del"}) || is({"enable"}) || is({"disable"});
  if (!changes) return fmt::format("Unknown command: '{}'.\n", words.empty() ? "" : words[0]);
  if (fault_ == InjectedFaultKind::forwarder_refuse) return "Permission denied\n";
  if (is({"set", "var", "proc.gm_term"}) && words.size() == 4 && words[3].starts_with("int(")) {
    const std::uint64_t term = std::strtoull(words[3].c_str() + 4, nullptr, 10);
    terms_[peer] = term;
    if (term < highest_term_ && s_.fences) return "Permission denied: a higher term was seen\n";
    highest_term_ = std::max(highest_term_, term);
    return "";
  }
  if (is({"set", "var", "proc.gm_leader"}) && words.size() == 4 && words[3].starts_with("str(")) {
    leaders_[peer] = words[3].substr(4, words[3].size() - 5);
    return "";
  }
  if (const auto term = terms_.find(peer); term != terms_.end()) {
    if (term->second < highest_term_ && s_.fences) return "Permission denied: a higher term was seen\n";
    recorder_.write(loop_.now(), "obeyed", {{"forwarder", s_.name}, {"term", term->second}});
    if (cut_callback_)
      runtime_.pause_after(peer, cut_after_bytes_,
                           [this, peer, then = std::exchange(cut_callback_, {})] { then(leaders_[peer]); });
  }
  paused_until_ = std::max(paused_until_, loop_.now()) + kCommandPause;
  if (is({"set", "var"}) && words.size() == 4 && words[2].starts_with("proc.gm_") &&
      words[3].starts_with("int(")) {
    variables_[words[2].substr(8)] = std::atoi(words[3].c_str() + 4);
    return "";
  }
  if (is({"set", "server"})) return set_server(words);
  if (words.size() < 3 || words[1] != "server") return "Unknown command.\n";
  const auto slash = words[2].find('/');
  const Key key{words[2].substr(0, slash), slash == std::string::npos ? "" : words[2].substr(slash + 1)};
  const auto it = lines_.find(key);
  if (is({"add"})) {
    if (it != lines_.end()) return "Already exists a server with the same name in this backend.\n";
    const auto at = words.size() > 3 ? Endpoint::parse(words[3]) : std::nullopt;
    if (!at) return "Invalid address.\n";
    Line& line = lines_[key];
    line.held = {*at, 100, ServerState::maint};
    for (std::size_t k = 4; k < words.size(); ++k) {
      if (words[k] == "weight" && k + 1 < words.size()) line.held.weight = std::atoi(words[++k].c_str());
      if (words[k] == "enabled") line.held.state = ServerState::ready;
    }
    return "New server registered.\n";
  }
  if (it == lines_.end()) return "No such server.\n";
  if (is({"del"})) {
    if (it->second.held.state != ServerState::maint)
      return "Only servers in maintenance mode can be deleted.\n";
    lines_.erase(it);
    return "Server deleted.\n";
  }
  it->second.held.state = is({"enable"}) ? ServerState::ready : ServerState::maint;
  return "";
}

std::string Forwarder::set_server(const std::vector<std::string>& words) {
  if (words.size() < 5) return "'set server' expects a server and a value.\n";
  const auto slash = words[2].find('/');
  const auto it =
      lines_.find({words[2].substr(0, slash), slash == std::string::npos ? "" : words[2].substr(slash + 1)});
  if (it == lines_.end()) return "No such server.\n";
  auto& held = it->second.held;
  if (words[3] == "weight") {
    char* end = nullptr;
    double number = std::strtod(words[4].c_str(), &end);
    if (*end == '%') number = held.weight * number / 100, ++end;
    if (*end != 0 || number < 0 || number > forwarders::kMaxWeight)
      return "Absolute weight can only be between 0 and 256 inclusive.\n";
    held.weight = static_cast<int>(number);
  } else if (words[3] == "state") {
    if (words[4] != "ready" && words[4] != "drain" && words[4] != "maint")
      return "'set server <srv> state' expects 'ready', 'drain' and 'maint'.\n";
    held.state = words[4] == "ready"   ? ServerState::ready
                 : words[4] == "drain" ? ServerState::drain
                                       : ServerState::maint;
  } else if (words[3] == "addr") {
    const auto address = Address::parse(words[4]);
    if (!address) return "Invalid addr format.\n";
    held.endpoint.address = *address;
    if (words.size() > 6 && words[5] == "port")
      held.endpoint.port = static_cast<std::uint16_t>(std::atoi(words[6].c_str()));
    it->second.consecutive_failures = 0, it->second.avoid_until = {};
    return "IP changed from 'somewhere' by 'stats socket command'\n";
  } else {
    return "'set server <srv>' only supports 'weight', 'state' and 'addr' here.\n";
  }
  return "";
}

std::string Forwarder::servers_state() const {
  std::string out =
      "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight "
      "srv_time_since_last_change srv_check_status srv_port\n";
  int number = 0;
  for (const auto& [key, line] : lines_) {
    const auto& h = line.held;
    out += fmt::format("3 {} {} {} {} {} {} {} 100 0 1 {}\n", key.first, ++number, key.second,
                       h.endpoint.address.text(), h.state == ServerState::maint ? 0 : 2,
                       h.state == ServerState::maint   ? 1
                       : h.state == ServerState::drain ? 8
                                                       : 0,
                       h.weight, h.endpoint.port);
  }
  return out;
}

std::string Forwarder::stat() const {
  std::string out =
      "# pxname,svname,qcur,qmax,scur,stot,econ,eresp,wredis,weight,hrsp_2xx,hrsp_5xx,ttime,extra,\n";
  const bool false_counters = fault_ == InjectedFaultKind::forwarder_lie;
  for (const auto& operation : s_.operations) {
    for (const auto& [key, line] : lines_)
      if (key.first == operation.name)
        out += fmt::format("{},{},0,0,{},{},{},0,0,{},{},{},{:.0f},,\n", key.first, key.second,
                           line.in_flight, line.tries, line.errored, line.held.weight,
                           line.tries - std::min(line.tries, line.errored + line.failed),
                           false_counters ? line.tries * 50 : line.failed, 1000 * line.latency);
    const auto it = arrived_.find(operation.name);
    const auto retries = retries_.find(operation.name);
    out +=
        fmt::format("{},BACKEND,0,0,0,{},0,0,{},0,0,0,0,,\n", operation.name,
                    it == arrived_.end() ? 0 : it->second, retries == retries_.end() ? 0 : retries->second);
  }
  return out;
}

// ---- Invocations ---------------------------------------------------------------------------------------

int Forwarder::variable(const std::string& name, int fallback) const {
  std::string key = name;
  std::replace(key.begin(), key.end(), '-', '_');
  const auto it = variables_.find(key);
  return it == variables_.end() ? fallback : it->second;
}

bool Forwarder::admit(std::size_t operation) {
  const std::string& name = s_.operations[operation].name;
  if (std::uniform_int_distribution<>{0, 999}(random_) >= variable("level_" + name, 1000)) return false;
  const int rate = variable("rate_" + name, -1);
  if (rate < 0 || rate >= 1'000'000'000) return true;
  auto& [left, at] = tokens_[name];
  const double per_second = rate / 10.0;
  left = std::min(std::max(1.0, per_second / 2),
                  left + per_second * (at == Instant{} ? 1.0 : (loop_.now() - at).seconds()));
  at = loop_.now();
  if (left < 1) return false;
  left -= 1;
  return true;
}

void Forwarder::request(const std::shared_ptr<net::Connection>& connection, const net::Request& request) {
  for (std::size_t k = 0; k < s_.operations.size(); ++k) {
    if (request.target != "/invoke/" + s_.operations[k].name) continue;
    auto call = std::make_shared<Call>();
    call->connection = connection, call->operation = k, call->id = request.body,
    call->arrived_at = loop_.now();
    ++arrived_[s_.operations[k].name];
    if (!admit(k)) return answer(*call, 429, true);
    retry_limiter_.record_first_try(loop_.now());
    // Requests wait while it applies commands.
    loop_.at(std::max(loop_.now(), paused_until_), [this, call] { forward(call); });
    return;
  }
  connection->send(net::write(net::Response{404, {}, "no such operation\n", true}));
}

std::optional<std::string> Forwarder::select_worker(const Call& call) {
  const std::string& operation = s_.operations[call.operation].name;
  std::vector<std::pair<std::string, const Line*>> candidates;
  for (const bool all : {false, true}) {
    for (const auto& [key, line] : lines_)
      if (key.first == operation && line.held.effective_weight() > 0 &&
          (all || (loop_.now() >= line.avoid_until &&
                   std::find(call.tried.begin(), call.tried.end(), key.second) == call.tried.end())))
        candidates.emplace_back(key.second, &line);
    if (!candidates.empty()) break;
  }
  if (candidates.empty()) return {};
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (const auto& [name, line] : candidates) weights.push_back(line->held.effective_weight());
  std::discrete_distribution<std::size_t> draw{weights.begin(), weights.end()};
  const auto* chosen = &candidates[draw(random_)];
  if (s_.two_choice) {
    const auto* other = &candidates[draw(random_)];
    if (other->second->in_flight < chosen->second->in_flight) chosen = other;
  }
  return chosen->first;
}

void Forwarder::forward(const std::shared_ptr<Call>& call) {
  const auto client = call->connection.lock();
  if (!client || !client->open()) return;  // the client is gone, and may send the same request again
  const auto& operation = s_.operations[call->operation];
  const auto worker = select_worker(*call);
  if (!worker) {
    recorder_.write(loop_.now(), "bare", {{"forwarder", s_.name}, {"operation", operation.name}});
    return answer(*call, 503, true);
  }
  const Key key{operation.name, *worker};
  Line& line = lines_.at(key);
  ++line.tries, ++line.in_flight, ++call->tries;
  call->tried.push_back(*worker);
  recorder_.write(loop_.now(), "sent",
                  {{"id", call->id},
                   {"to", line.held.endpoint.text()},
                   {"obeys", true},
                   {"forwarder", s_.name},
                   {"operation", operation.name}});
  const Endpoint to = line.held.endpoint;
  auto& idle = pool_[to];
  std::unique_ptr<net::HttpClient> http;
  if (idle.empty()) {
    http = std::make_unique<net::HttpClient>(loop_, to, s_.listen.address);
  } else {
    http = std::move(idle.back());
    idle.pop_back();
  }
  auto* raw = http.get();
  auto held = std::make_shared<std::unique_ptr<net::HttpClient>>(std::move(http));
  const Span remaining = operation.integration_timeout * 0.8 - (loop_.now() - call->arrived_at);
  raw->send(
      {"POST", "/invoke/" + operation.name, {}, call->id, true}, std::max(Span::seconds(0.001), remaining),
      [this, call, key, to, held](const net::HttpClient::Result& result) {
        if (result.outcome == net::HttpClient::Outcome::answered) {
          pool_[to].push_back(std::move(*held));
        } else {
          loop_.call_soon([gone = std::make_shared<std::unique_ptr<net::HttpClient>>(std::move(*held))] {});
        }
        on_reply(call, key, result);
      });
}

void Forwarder::on_reply(const std::shared_ptr<Call>& call, const Key& key,
                         const net::HttpClient::Result& result) {
  using Outcome = net::HttpClient::Outcome;
  const bool succeeded = result.outcome == Outcome::answered && result.response.status == 200;
  const bool never_ran =
      !result.sent || (result.outcome == Outcome::answered && result.response.header("Never-Ran") != nullptr);
  if (const auto it = lines_.find(key); it != lines_.end()) {
    Line& line = it->second;
    --line.in_flight;
    if (succeeded) {
      line.consecutive_failures = 0;
      line.latency =
          line.latency == 0 ? result.latency.seconds() : 0.9 * line.latency + 0.1 * result.latency.seconds();
    } else {
      ++(result.outcome == Outcome::answered ? line.failed : line.errored);
      if (++line.consecutive_failures >= kMaxConsecutiveFailures)
        line.consecutive_failures = 0, line.avoid_until = loop_.now() + kAvoidTime;
    }
  }
  if (succeeded) return answer(*call, 200, false);
  // 0: no retry; 1: one retry if the try provably never ran; 2 or 3: one or two retries after any failure.
  // Side-effecting work is retried only if it provably never ran.
  const auto& operation = s_.operations[call->operation];
  const int retry_mode = variable("tries_" + operation.name, 1);
  const int max_tries = retry_mode == 0 ? 1 : retry_mode == 3 ? 3 : 2;
  const bool may_retry =
      retry_mode > 0 && call->tries < max_tries && (never_ran || (retry_mode >= 2 && operation.may_repeat()));
  if (may_retry && loop_.now() - call->arrived_at < operation.integration_timeout * 0.6 &&
      retry_limiter_.allow_retry(loop_.now(), variable("retries", -1))) {
    ++retries_[operation.name];
    return forward(call);
  }
  answer(*call, never_ran ? 503 : 502, never_ran);
}

void Forwarder::answer(const Call& call, unsigned status, bool never_ran) {
  const auto connection = call.connection.lock();
  if (!connection || !connection->open()) return;
  net::Response response{status, {}, "", true};
  if (never_ran) response.headers.emplace_back("Never-Ran", "yes");
  connection->send(net::write(response));
}

}  // namespace gorsemount::standins

#include "runtime_api/driver.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "runtime_api/codec.hpp"

namespace gorsemount::runtime_api {

using forwarders::ActualTable;
using forwarders::Change;

namespace {

constexpr std::size_t kMaxAnswerBytes = 16U << 20U;  // for `show stat` of a large forwarder
const Span kRereadDelay = Span::seconds(0.25);  // after a refusal, since the forwarder may be about to change

}  // namespace

class Driver::Connection {
 public:
  Connection(Driver& driver, DriverSettings::Target target)
      : driver_{driver}, target_{std::move(target)}, managed_{!driver.settings_.shared} {
    if (managed_) connect();
  }
  ~Connection() {
    for (auto* timer : {&reconnect_timer_, &response_timer_, &stats_timer_, &verify_timer_, &reread_timer_})
      driver_.loop_.cancel(*timer);
    if (connection_) connection_->abort();
  }

  void set_term(std::optional<std::uint64_t> term) {
    if (term == term_ && term.has_value() == managed_) return;
    term_ = term;
    managed_ = term.has_value(), taken_over_ = managed_;
    // A new term needs a new connection, which sends the term and reads the actual table again.
    disconnect(managed_ ? "the term changed" : "this coordinator no longer manages the forwarder");
    if (!managed_) return;
    driver_.loop_.cancel(reconnect_timer_);
    connect();
  }

  void deliver(std::shared_ptr<const coordinator::DesiredTable> table) {
    desired_ = std::move(table);
    delivered_at_ = driver_.loop_.now();
    sent_changes_ = 0;
    advance();
  }

  [[nodiscard]] Status status() const {
    return {target_.name, synchronized_, applied_version_, repairs_, refusals_, pending_.size()};
  }

 private:
  enum class RequestKind { prompt, ignored, term, state, verify, stat, change };
  struct Request {
    RequestKind kind = RequestKind::prompt;
    std::shared_ptr<const Plan> plan;
    std::size_t index = 0;
  };

  void connect() {
    const auto on_connected = [this](net::Fd fd, int) {
      driver_.loop_.cancel(response_timer_);
      connect_attempt_.reset();
      if (!fd) return disconnect("connection failed");
      connection_ = net::Connection::make(
          driver_.loop_, std::move(fd), {kMaxAnswerBytes, 4U << 20U, Span::seconds(3600)},
          [this](std::string_view bytes) { return on_data(bytes); },
          [this](const char* why) { disconnect(why); });
      send_request(RequestKind::prompt, "prompt");
      if (term_) {
        send_request(RequestKind::term, "get var proc.gm_term");
        send_request(RequestKind::ignored, "set var proc.gm_term int(" + std::to_string(*term_) + ")");
        send_request(RequestKind::ignored, "set var proc.gm_leader str(" + driver_.settings_.leader + ")");
      }
      send_request(RequestKind::ignored, "show info");
      send_request(RequestKind::state, "show servers state");
    };
    connect_attempt_ = target_.socket_path.empty()
                           ? net::connect(driver_.loop_, target_.endpoint, {}, on_connected)
                           : net::connect(driver_.loop_, target_.socket_path, on_connected);
    response_timer_ = driver_.loop_.after(driver_.settings_.response_timeout,
                                          [this] { disconnect("connection timed out"); });
  }

  void disconnect(const std::string& why) {
    for (auto* timer : {&response_timer_, &stats_timer_, &verify_timer_, &reread_timer_})
      driver_.loop_.cancel(*timer);
    connect_attempt_.reset();
    if (connection_) connection_->abort();
    pending_.clear();
    pending_changes_ = 0;
    counters_.reset();
    if (std::exchange(synchronized_, false)) {
      driver_.hooks_.log(true, "forwarder_lost", {{"forwarder", target_.name}, {"why", why}});
      driver_.hooks_.report(coordinator::ForwarderLeft{target_.id});
    }
    desired_.reset();  // delivered again once the forwarder has joined
    driver_.loop_.cancel(reconnect_timer_);
    if (managed_)
      reconnect_timer_ = driver_.loop_.after(driver_.settings_.reconnect_delay, [this] { connect(); });
  }

  void send_request(RequestKind kind, const std::string& text) {
    if (!connection_ || !connection_->open()) return;
    pending_.push_back({kind, {}, 0});
    if (pending_.size() == 1) start_response_timer();
    connection_->send(text + "\n");
  }

  // The timeout covers one answer. A forwarder that stops answering is disconnected and does not delay
  // others.
  void start_response_timer() {
    driver_.loop_.cancel(response_timer_);
    response_timer_ =
        driver_.loop_.after(driver_.settings_.response_timeout, [this] { disconnect("no answer in time"); });
  }

  std::size_t on_data(std::string_view bytes) {
    const auto end = bytes.find("\n> ", scanned_bytes_ > 3 ? scanned_bytes_ - 3 : 0);
    if (end == std::string_view::npos) {
      scanned_bytes_ = bytes.size();
      return 0;
    }
    scanned_bytes_ = 0;
    if (pending_.empty()) {
      disconnect("answer without a request");
      return bytes.size();
    }
    const Request request = std::move(pending_.front());
    pending_.pop_front();
    driver_.loop_.cancel(response_timer_);
    if (!pending_.empty()) start_response_timer();
    on_answer(request, bytes.substr(0, end));
    return end + 3;
  }

  void on_answer(const Request& request, std::string_view text) {
    switch (request.kind) {
      case RequestKind::prompt:
      case RequestKind::ignored:
        return;
      case RequestKind::term:
        if (const auto term = parse_variable(text); term && driver_.hooks_.on_term_seen)
          driver_.hooks_.on_term_seen(target_.id, *term);
        return;
      case RequestKind::state:
      case RequestKind::verify:
        return on_servers_state(request.kind, text);
      case RequestKind::stat:
        return on_stats(text);
      case RequestKind::change:
        return on_change_answer(request.plan->changes[request.index], text);
    }
  }

  void on_servers_state(RequestKind kind, std::string_view text) {
    auto read = parse_servers_state(text);
    if (const auto* error = std::get_if<std::string>(&read))
      return disconnect("show servers state " + *error);
    ActualTable fresh = std::get<ActualTable>(std::move(read));
    // Ignore backend sections that are not operations: the forwarder may have others.
    std::erase_if(fresh.lines, [this](const auto& row) {
      return std::find(driver_.settings_.operations.begin(), driver_.settings_.operations.end(),
                       row.first.first) == driver_.settings_.operations.end();
    });
    if (kind == RequestKind::verify && synchronized_ && !(fresh.lines == actual_.lines)) {
      ++repairs_;
      driver_.hooks_.log(true, "forwarder_drifted",
                         {{"forwarder", target_.name}, {"cause", describe_drift(actual_, fresh)}});
    }
    actual_.lines = std::move(fresh.lines);
    if (!synchronized_) {
      synchronized_ = true;
      actual_.variables.clear();  // lost in a restart, and they can't be read in bulk
      std::map<std::string, double> current_weights;
      for (const auto& [key, line] : actual_.lines)
        if (line.effective_weight() > 0)
          current_weights[key.second] =
              std::max(current_weights[key.second], static_cast<double>(line.effective_weight()));
      driver_.hooks_.report(coordinator::ForwarderJoined{target_.id, std::exchange(taken_over_, false),
                                                         std::move(current_weights)});
      request_stats();
      schedule_verification();
    }
    advance();
  }

  static std::string describe_drift(const ActualTable& expected, const ActualTable& found) {
    for (const auto& [key, line] : expected.lines) {
      const auto it = found.lines.find(key);
      if (it == found.lines.end()) return fmt::format("{}/{} is missing", key.first, key.second);
      if (!(it->second == line))
        return fmt::format("{}/{} has weight {} state {}, was set to weight {} state {}", key.first,
                           key.second, it->second.weight, static_cast<int>(it->second.state), line.weight,
                           static_cast<int>(line.state));
    }
    for (const auto& [key, line] : found.lines)
      if (!expected.lines.contains(key))
        return fmt::format("{}/{} was added by someone else", key.first, key.second);
    return "none";
  }

  void request_stats() {
    send_request(RequestKind::stat, "show stat");
    stats_timer_ = driver_.loop_.after(driver_.settings_.stats_interval, [this] { request_stats(); });
  }

  void schedule_verification() {
    verify_timer_ = driver_.loop_.after(driver_.settings_.verify_interval, [this] {
      if (!changes_pending()) send_request(RequestKind::verify, "show servers state");
      schedule_verification();
    });
  }

  void on_stats(std::string_view text) {
    auto read = parse_stat(text);
    if (const auto* error = std::get_if<std::string>(&read)) {
      driver_.hooks_.log(true, "report_doubted",
                         {{"forwarder", target_.name}, {"why", "show stat " + *error}});
      return;
    }
    const auto delta = counters_.update(std::get<forwarders::CounterSnapshot>(read));
    if (delta.inconsistent)
      return driver_.hooks_.log(true, "report_doubted",
                                {{"forwarder", target_.name}, {"why", "more errored than tries"}});
    if (delta.restarted) driver_.hooks_.log(true, "forwarder_restarted", {{"forwarder", target_.name}});
    coordinator::ForwarderReport report{target_.id, {}, {}, 0};
    for (std::size_t k = 0; k < driver_.settings_.operations.size(); ++k) {
      const OperationId operation{static_cast<std::uint8_t>(k)};
      for (const auto& [key, server] : delta.counts.servers) {
        if (key.first != driver_.settings_.operations[k] || server.tries + server.errored == 0) continue;
        if (const auto backend = driver_.hooks_.backend_of(key.second))
          report.rows.push_back({*backend, operation, static_cast<int>(server.tries),
                                 static_cast<int>(server.errored), server.mean_latency});
      }
      if (const auto it = delta.counts.arrivals.find(driver_.settings_.operations[k]);
          it != delta.counts.arrivals.end())
        report.arrived.emplace_back(operation, static_cast<int>(it->second));
      if (const auto it = delta.counts.retries.find(driver_.settings_.operations[k]);
          it != delta.counts.retries.end())
        report.further += static_cast<int>(it->second);
    }
    driver_.hooks_.report(std::move(report));
  }

  [[nodiscard]] bool changes_pending() const { return pending_changes_ > 0; }

  // Sends the changes from the actual to the desired table, one plan at a time.
  void advance() {
    if (!synchronized_ || !desired_ || changes_pending() || reread_timer_.number != 0) return;
    const auto plan = driver_.plan(actual_, desired_, supports_variables_);
    if (plan->changes.empty()) {
      if (applied_version_ != desired_->version) {
        applied_version_ = desired_->version;
        driver_.hooks_.report(coordinator::ForwarderAppliedTable{target_.id, applied_version_});
        driver_.hooks_.on_applied(target_.id, applied_version_, net::monotonic_now() - delivered_at_,
                                  sent_changes_);
      }
      return;
    }
    if (!connection_ || !connection_->open()) return;
    if (driver_.hooks_.may_send_changes && !driver_.hooks_.may_send_changes(target_.id)) return;
    const std::size_t count = plan->changes.size();
    sent_changes_ += count, pending_changes_ += count;
    const bool first = pending_.empty();
    for (std::size_t k = 0; k < count; ++k) pending_.push_back({RequestKind::change, plan, k});
    if (first) start_response_timer();
    connection_->send(plan->text);
  }

  void on_change_answer(const Change& change, std::string_view text) {
    --pending_changes_;
    if (is_success(text)) {
      forwarders::apply(actual_, change);
    } else {
      ++refusals_;
      const std::string answer{text.substr(0, 80)};
      if (change.kind == Change::Kind::variable) {
        // The forwarder does not accept admission levels and rate limits. Leave admission to it, and log
        // once.
        if (std::exchange(supports_variables_, false))
          driver_.hooks_.log(true, "forwarder_cannot_express",
                             {{"forwarder", target_.name}, {"said", answer}});
      } else {
        driver_.hooks_.log(
            true, "command_refused",
            {{"forwarder", target_.name}, {"command", format_command(change)}, {"said", answer}});
        // The actual table differs from the expected one: read it again before the next plan.
        driver_.loop_.cancel(reread_timer_);
        reread_timer_ = driver_.loop_.after(kRereadDelay, [this] {
          reread_timer_ = {};
          send_request(RequestKind::verify, "show servers state");
        });
      }
    }
    if (!changes_pending()) advance();
  }

  Driver& driver_;
  DriverSettings::Target target_;
  std::shared_ptr<void> connect_attempt_;
  std::shared_ptr<net::Connection> connection_;
  std::deque<Request> pending_;
  std::size_t scanned_bytes_ = 0;
  ActualTable actual_;
  std::shared_ptr<const coordinator::DesiredTable> desired_;
  Instant delivered_at_;
  forwarders::CounterTracker counters_;
  std::optional<std::uint64_t> term_;
  bool managed_ = true, taken_over_ = false, synchronized_ = false, supports_variables_ = true;
  std::uint64_t applied_version_ = 0, repairs_ = 0, refusals_ = 0;
  std::size_t sent_changes_ = 0, pending_changes_ = 0;
  net::Loop::Timer reconnect_timer_, response_timer_, stats_timer_, verify_timer_, reread_timer_;
};

Driver::Driver(net::Loop& loop, DriverSettings settings, DriverHooks hooks)
    : loop_{loop}, settings_{std::move(settings)}, hooks_{std::move(hooks)} {
  for (const auto& target : settings_.targets)
    connections_[target.id] = std::make_unique<Connection>(*this, target);
}
Driver::~Driver() = default;

std::shared_ptr<const Driver::Plan> Driver::plan(
    const ActualTable& actual, const std::shared_ptr<const coordinator::DesiredTable>& desired,
    bool supports_variables) {
  for (const auto& known : {last_empty_plan_, last_plan_})
    if (known && known->desired == desired && known->supports_variables == supports_variables &&
        known->actual == actual)
      return known;
  auto fresh = std::make_shared<Plan>(
      Plan{desired, actual, supports_variables, forwarders::plan(actual, *desired, supports_variables), {}});
  for (const auto& change : fresh->changes) fresh->text += format_command(change) + "\n";
  (fresh->changes.empty() ? last_empty_plan_ : last_plan_) = fresh;
  return fresh;
}

void Driver::set_term(ProxyId forwarder, std::optional<std::uint64_t> term) {
  if (const auto it = connections_.find(forwarder); it != connections_.end()) it->second->set_term(term);
}

void Driver::deliver(ProxyId forwarder, std::shared_ptr<const coordinator::DesiredTable> table) {
  if (const auto it = connections_.find(forwarder); it != connections_.end())
    it->second->deliver(std::move(table));
}

std::vector<Driver::Status> Driver::status() const {
  std::vector<Status> all;
  for (const auto& [id, connection] : connections_) all.push_back(connection->status());
  return all;
}

}  // namespace gorsemount::runtime_api

#include "runtime_api/driver.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "runtime_api/codec.hpp"

namespace gorsemount::runtime_api {

using forwarders::ActualTable;
using forwarders::Change;

namespace {

constexpr std::size_t kAnswerMost = 16U << 20U;  // `show stat` of a large forwarder
const Span kAgain = Span::seconds(0.25);         // after a refusal: the forwarder may be about to change

}  // namespace

class Driver::Stream {
 public:
  Stream(Driver& driver, DriverSettings::Target target)
      : d_{driver}, target_{std::move(target)}, led_{!driver.s_.shared} {
    if (led_) dial();
  }
  ~Stream() {
    for (auto* timer : {&redial_, &patience_, &stat_, &read_back_, &again_}) d_.loop_.cancel(*timer);
    if (connection_) connection_->abort();
  }

  void set_term(std::optional<std::uint64_t> term) {
    if (term == term_ && term.has_value() == led_) return;
    term_ = term;
    led_ = term.has_value(), taken_over_ = led_;
    // A new term is a new stream: the forwarder is learned anew, and told under which term it is led.
    lost(led_ ? "a new term" : "no longer led");
    if (!led_) return;
    d_.loop_.cancel(redial_);
    dial();
  }

  void deliver(std::shared_ptr<const coordinator::DesiredTable> table) {
    wanted_ = std::move(table);
    wanted_at_ = d_.loop_.now();
    sent_changes_ = 0;
    advance();
  }

  [[nodiscard]] Status status() const {
    return {target_.name, learned_, holds_, repairs_, refusals_, pending_.size()};
  }

 private:
  enum class Kind { prompt, info, term, state, read_back, stat, change };
  struct Pending {
    Kind kind = Kind::prompt;
    std::shared_ptr<const Way> way;
    std::size_t place = 0;
  };

  void dial() {
    const auto stands = [this](net::Fd fd, int) {
      d_.loop_.cancel(patience_);
      attempt_.reset();
      if (!fd) return lost("no connection");
      connection_ = net::Connection::make(
          d_.loop_, std::move(fd), {kAnswerMost, 4U << 20U, Span::seconds(3600)},
          [this](std::string_view bytes) { return data(bytes); }, [this](const char* why) { lost(why); });
      ask(Kind::prompt, "prompt");
      if (term_) {
        ask(Kind::term, "get var proc.gm_term");
        ask(Kind::info, "set var proc.gm_term int(" + std::to_string(*term_) + ")");
        ask(Kind::info, "set var proc.gm_leader str(" + d_.s_.leader + ")");
      }
      ask(Kind::info, "show info");
      ask(Kind::state, "show servers state");
    };
    attempt_ = target_.path.empty() ? net::connect(d_.loop_, target_.at, {}, stands)
                                    : net::connect(d_.loop_, target_.path, stands);
    patience_ = d_.loop_.after(d_.s_.response_timeout, [this] { lost("no connection in time"); });
  }

  void lost(const std::string& why) {
    for (auto* timer : {&patience_, &stat_, &read_back_, &again_}) d_.loop_.cancel(*timer);
    attempt_.reset();
    if (connection_) connection_->abort();
    pending_.clear();
    changing_ = 0;
    counters_.forget();
    if (std::exchange(learned_, false)) {
      d_.hooks_.log(true, "forwarder_lost", {{"forwarder", target_.name}, {"why", why}});
      d_.hooks_.report(coordinator::ForwarderLeft{target_.id});
    }
    wanted_.reset();  // what is wanted is told anew once it has joined
    d_.loop_.cancel(redial_);
    if (led_) redial_ = d_.loop_.after(d_.s_.reconnect_delay, [this] { dial(); });
  }

  void ask(Kind kind, const std::string& text) {
    if (!connection_ || !connection_->open()) return;
    pending_.push_back({kind, {}, 0});
    if (pending_.size() == 1) wait();
    connection_->send(text + "\n");
  }

  // One answer's time: a forwarder that stops answering is given up, and the others never wait for it.
  void wait() {
    d_.loop_.cancel(patience_);
    patience_ = d_.loop_.after(d_.s_.response_timeout, [this] { lost("no answer in time"); });
  }

  std::size_t data(std::string_view bytes) {
    const auto end = bytes.find("\n> ", scanned_ > 3 ? scanned_ - 3 : 0);
    if (end == std::string_view::npos) {
      scanned_ = bytes.size();
      return 0;
    }
    scanned_ = 0;
    if (pending_.empty()) {
      lost("an answer that nobody asked for");
      return bytes.size();
    }
    const Pending asked = std::move(pending_.front());
    pending_.pop_front();
    d_.loop_.cancel(patience_);
    if (!pending_.empty()) wait();
    answered(asked, bytes.substr(0, end));
    return end + 3;
  }

  void answered(const Pending& asked, std::string_view text) {
    switch (asked.kind) {
      case Kind::prompt:
      case Kind::info:
        return;
      case Kind::term:
        if (const auto term = read_variable(text); term && d_.hooks_.term_seen)
          d_.hooks_.term_seen(target_.id, *term);
        return;
      case Kind::state:
      case Kind::read_back:
        return state(asked.kind, text);
      case Kind::stat:
        return stat(text);
      case Kind::change:
        return changed(asked.way->changes[asked.place], text);
    }
  }

  void state(Kind kind, std::string_view text) {
    auto read = read_servers_state(text);
    if (const auto* fault = std::get_if<std::string>(&read)) return lost("show servers state " + *fault);
    ActualTable fresh = std::get<ActualTable>(std::move(read));
    // Only what we lead: a forwarder may have backends of its own.
    std::erase_if(fresh.lines, [this](const auto& row) {
      return std::find(d_.s_.operations.begin(), d_.s_.operations.end(), row.first.first) ==
             d_.s_.operations.end();
    });
    if (kind == Kind::read_back && learned_ && !(fresh.lines == held_.lines)) {
      ++repairs_;
      d_.hooks_.log(true, "forwarder_drifted",
                    {{"forwarder", target_.name}, {"cause", difference(held_, fresh)}});
    }
    held_.lines = std::move(fresh.lines);
    if (!learned_) {
      learned_ = true;
      held_.variables
          .clear();  // a forwarder that restarted has forgotten them, and they can't be read in bulk
      std::map<std::string, double> holds;
      for (const auto& [key, line] : held_.lines)
        if (line.effective_weight() > 0)
          holds[key.second] = std::max(holds[key.second], static_cast<double>(line.effective_weight()));
      d_.hooks_.report(
          coordinator::ForwarderJoined{target_.id, std::exchange(taken_over_, false), std::move(holds)});
      ask_stat();
      read_back();
    }
    advance();
  }

  static std::string difference(const ActualTable& thought, const ActualTable& found) {
    for (const auto& [key, line] : thought.lines) {
      const auto it = found.lines.find(key);
      if (it == found.lines.end()) return fmt::format("{}/{} is not there", key.first, key.second);
      if (!(it->second == line))
        return fmt::format("{}/{} has weight {} state {}, was set to weight {} state {}", key.first,
                           key.second, it->second.weight, static_cast<int>(it->second.state), line.weight,
                           static_cast<int>(line.state));
    }
    for (const auto& [key, line] : found.lines)
      if (!thought.lines.contains(key))
        return fmt::format("{}/{} was not added by us", key.first, key.second);
    return "none";
  }

  void ask_stat() {
    ask(Kind::stat, "show stat");
    stat_ = d_.loop_.after(d_.s_.stats_interval, [this] { ask_stat(); });
  }

  void read_back() {
    read_back_ = d_.loop_.after(d_.s_.verify_interval, [this] {
      if (!changing()) ask(Kind::read_back, "show servers state");
      read_back();
    });
  }

  void stat(std::string_view text) {
    auto read = read_stat(text);
    if (const auto* fault = std::get_if<std::string>(&read)) {
      d_.hooks_.log(true, "report_doubted", {{"forwarder", target_.name}, {"why", "show stat " + *fault}});
      return;
    }
    const auto told = counters_.read(std::get<forwarders::Reading>(read));
    if (told.impossible)
      return d_.hooks_.log(true, "report_doubted",
                           {{"forwarder", target_.name}, {"why", "more errored than tried"}});
    if (told.restarted) d_.hooks_.log(true, "forwarder_restarted", {{"forwarder", target_.name}});
    coordinator::ForwarderReport met{target_.id, {}, {}, 0};
    for (std::size_t k = 0; k < d_.s_.operations.size(); ++k) {
      const OperationId op{static_cast<std::uint8_t>(k)};
      for (const auto& [key, c] : told.since.servers) {
        if (key.first != d_.s_.operations[k] || c.tries + c.errored == 0) continue;
        if (const auto backend = d_.hooks_.backend_of(key.second))
          met.rows.push_back(
              {*backend, op, static_cast<int>(c.tries), static_cast<int>(c.errored), c.mean_latency});
      }
      if (const auto it = told.since.arrived.find(d_.s_.operations[k]); it != told.since.arrived.end())
        met.arrived.emplace_back(op, static_cast<int>(it->second));
      if (const auto it = told.since.further.find(d_.s_.operations[k]); it != told.since.further.end())
        met.further += static_cast<int>(it->second);
    }
    d_.hooks_.report(std::move(met));
  }

  [[nodiscard]] bool changing() const { return changing_ > 0; }

  // Sends what is left of the way from what it holds to what it is to hold; one plan at a time.
  void advance() {
    if (!learned_ || !wanted_ || changing() || again_.number != 0) return;
    const auto way = d_.way(held_, wanted_, with_values_);
    if (way->changes.empty()) {
      if (holds_ != wanted_->version) {
        holds_ = wanted_->version;
        d_.hooks_.report(coordinator::ForwarderAppliedTable{target_.id, holds_});
        d_.hooks_.in_force(target_.id, holds_, net::monotonic_now() - wanted_at_, sent_changes_);
      }
      return;
    }
    if (!connection_ || !connection_->open()) return;
    if (d_.hooks_.may_order && !d_.hooks_.may_order(target_.id)) return;
    const std::size_t n = way->changes.size();
    sent_changes_ += n, changing_ += n;
    const bool first = pending_.empty();
    for (std::size_t k = 0; k < n; ++k) pending_.push_back({Kind::change, way, k});
    if (first) wait();
    connection_->send(way->text);
  }

  void changed(const Change& change, std::string_view text) {
    --changing_;
    if (is_done(text)) {
      forwarders::apply(held_, change);
    } else {
      ++refusals_;
      const std::string said{text.substr(0, 80)};
      if (change.what == Change::What::value) {
        // It can't express levels and rates, or not now: what it lets in is up to it, and that is said once.
        if (std::exchange(with_values_, false))
          d_.hooks_.log(true, "forwarder_cannot_express", {{"forwarder", target_.name}, {"said", said}});
      } else {
        d_.hooks_.log(true, "command_refused",
                      {{"forwarder", target_.name}, {"command", command(change)}, {"said", said}});
        // What it holds is not what was thought: learn it anew before the next plan.
        d_.loop_.cancel(again_);
        again_ = d_.loop_.after(kAgain, [this] {
          again_ = {};
          ask(Kind::read_back, "show servers state");
        });
      }
    }
    if (!changing()) advance();
  }

  Driver& d_;
  DriverSettings::Target target_;
  std::shared_ptr<void> attempt_;
  std::shared_ptr<net::Connection> connection_;
  std::deque<Pending> pending_;
  std::size_t scanned_ = 0;
  ActualTable held_;
  std::shared_ptr<const coordinator::DesiredTable> wanted_;
  Instant wanted_at_;
  forwarders::Counters counters_;
  std::optional<std::uint64_t> term_;
  bool led_ = true, taken_over_ = false, learned_ = false, with_values_ = true;
  std::uint64_t holds_ = 0, repairs_ = 0, refusals_ = 0;
  std::size_t sent_changes_ = 0, changing_ = 0;
  net::Loop::Timer redial_, patience_, stat_, read_back_, again_;
};

Driver::Driver(net::Loop& loop, DriverSettings settings, DriverHooks hooks)
    : loop_{loop}, s_{std::move(settings)}, hooks_{std::move(hooks)} {
  for (const auto& target : s_.targets) streams_[target.id] = std::make_unique<Stream>(*this, target);
}
Driver::~Driver() = default;

std::shared_ptr<const Driver::Way> Driver::way(const ActualTable& from,
                                               const std::shared_ptr<const coordinator::DesiredTable>& wanted,
                                               bool with_values) {
  for (const auto& known : {there_, last_})
    if (known && known->wanted == wanted && known->with_values == with_values && known->from == from)
      return known;
  auto fresh =
      std::make_shared<Way>(Way{wanted, from, with_values, forwarders::plan(from, *wanted, with_values), {}});
  for (const auto& change : fresh->changes) fresh->text += command(change) + "\n";
  (fresh->changes.empty() ? there_ : last_) = fresh;
  return fresh;
}

void Driver::set_term(ProxyId forwarder, std::optional<std::uint64_t> term) {
  if (const auto it = streams_.find(forwarder); it != streams_.end()) it->second->set_term(term);
}

void Driver::deliver(ProxyId forwarder, std::shared_ptr<const coordinator::DesiredTable> table) {
  if (const auto it = streams_.find(forwarder); it != streams_.end()) it->second->deliver(std::move(table));
}

std::vector<Driver::Status> Driver::status() const {
  std::vector<Status> all;
  for (const auto& [id, stream] : streams_) all.push_back(stream->status());
  return all;
}

}  // namespace gorsemount::runtime_api

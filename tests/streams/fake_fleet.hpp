// Proxies and backends around one PolicyHost on a virtual clock. The fleet plays the channel: messages leave
// it one after the other at the stated rate and take effect a while later.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <sstream>

#include "streams/policy_host.hpp"

namespace gorsemount::streams::testing {

constexpr double kGrace = 1.5, kSlack = 0.3, kPropagation = 0.187, kPerMessage = 4;
constexpr double kDrainInterval = 0.7, kDrainTime = 3;  // s; a draining backend is gone after kDrainTime

struct Deployment {
  unsigned proxies = 0, backends = 0;
  double push_rate = 0;         // lines a second, as stated in the settings
  double channel_speed = 1;     // of the stated rate
  bool has_zone_bound = false;  // one of the operations may use backends of the proxy's zone alone
};

inline std::string settings_text(const Deployment& deployment) {
  std::ostringstream text;
  text
      << R"({"discovery":"subscribe","family-info":{"backlog":)" << 2 * deployment.push_rate
      << R"(,"intake-per-s":1000,"level-kind":"rate","messages-most":0,"per-message":)" << kPerMessage
      << R"(,"propagation-s":)" << kPropagation << R"(,"proxies":)" << deployment.proxies
      << R"(,"push-rate":)" << deployment.push_rate
      << R"(,"report-every-s":2,"update-window-s":10,"usual-how":1,"zone-bound":[false,)"
      << (deployment.has_zone_bound ? "true" : "false") << "]},"
      << R"("lanes":[{"effect":"read_like","goal-time-s":1,"worth":1,"name":"lookup"},)"
      << R"({"effect":"non_idempotent","goal-time-s":1,"worth":3,"name":"order"}],"fleet-size":2,)"
      << R"("limits":{"keepalive-s":15},"rules":{"ask-within-s":10,"cold-from":0.2,"cold-s":15,"drain-grace-s":)"
      << kGrace << R"(,"tip-multiple":4},"zones":["a","b","c"]})";
  return text.str();
}

inline std::string host_name(unsigned k) { return "s-" + std::to_string(k); }
inline std::string zone_name(unsigned k) { return std::string(1, static_cast<char>('a' + k % 3)); }

// The lines of a proxy for each operation, and the messages that are still on their way to it.
struct FakeProxy {
  std::map<std::string, std::set<std::string>> lines;  // by operation
  StreamId stream = 0;                                 // 0: not joined
  double joined_at = 0;
  bool has_whole_table = false;

  void apply(const std::string& bytes) {
    std::istringstream parts{bytes};
    for (std::string part; std::getline(parts, part);) apply_part(part);
  }

 private:
  void apply_part(const std::string& part) {
    std::istringstream words{part};
    std::vector<std::string> operations{"lookup", "order"};
    bool full = false;
    std::string endpoints;
    for (std::string word; words >> word;) {
      const auto value = word.substr(word.find('=') + 1);
      if (word.starts_with("routes=")) operations = split(value, '+');
      if (word.starts_with("full=")) full = true;
      if (word.starts_with("endpoints=")) endpoints = value;
    }
    has_whole_table = has_whole_table || full;
    for (const auto& operation : operations) {
      auto& own = lines[operation];
      if (full) own.clear();
      for (const auto& line : split(endpoints, ',')) {
        const auto colon = line.find(':');
        const auto host = line.substr(0, colon);
        if (std::stod(line.substr(colon + 1)) > 0)
          own.insert(host);
        else
          own.erase(host);
      }
    }
  }
  static std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> words;
    std::istringstream in{text};
    for (std::string word; std::getline(in, word, separator);) words.push_back(word);
    return words;
  }
};

class Fleet {
 public:
  explicit Fleet(Deployment deployment) : deployment_{deployment}, proxies_(deployment.proxies) {
    const Json config = Json::parse(settings_text(deployment_));
    const Fields fields{config, "settings"};
    host_.emplace(read_settings(fields), read_id_names(fields), 7, Instant{});
    for (unsigned k = 0; k < deployment_.backends; ++k) health_.push_back(discovery::Health::ready);
    list_all();
  }

  // Every proxy brings a table that holds all backends of the list.
  void bring_full_tables() {
    for (unsigned p = 0; p < proxies_.size(); ++p)
      for (unsigned k = 0; k < deployment_.backends; ++k) {
        proxies_[p].lines["lookup"].insert(host_name(k));
        if (!deployment_.has_zone_bound || zone_name(k) == zone_name(p))
          proxies_[p].lines["order"].insert(host_name(k));
      }
  }
  void join_all(double from, double span) {
    for (unsigned p = 0; p < proxies_.size(); ++p)
      plan_.emplace(from + span * ((p * 7919U) % proxies_.size()) / static_cast<double>(proxies_.size()),
                    [this, p] { join(p); });
  }
  // The successor's join comes before the end of the former stream is seen.
  void rejoin_all(double from, double span) { join_all(from, span); }
  void drain(unsigned first, unsigned count, double from) {
    for (unsigned k = 0; k < count; ++k) {
      plan_.emplace(from + kDrainInterval * k,
                    [this, number = first + k] { set_health(number, discovery::Health::draining); });
      plan_.emplace(from + kDrainInterval * k + kDrainTime,
                    [this, number = first + k] { set_health(number, discovery::Health::gone); });
    }
  }
  void at(double when, std::function<void()> action) { plan_.emplace(when, std::move(action)); }
  // A proxy's stream ends; it goes on with what it holds.
  void leave(unsigned p) {
    FakeProxy& proxy = proxies_[p];
    if (proxy.stream == 0) return;
    host_->leave(proxy.stream);
    proxy.stream = 0;
  }
  void run_until(double end) {
    constexpr double kStep = 0.01;  // s
    constexpr int kStepsPerCheck = 5;
    for (int steps = 0; now_ < end; now_ += kStep, ++steps) {
      while (!plan_.empty() && plan_.begin()->first <= now_) {
        const auto action = std::move(plan_.begin()->second);
        plan_.erase(plan_.begin());
        action();
      }
      deliver();
      step();
      if (steps % kStepsPerCheck == 0) check_drains();
      const double waiting = std::max(0.0, (channel_free_at_ - now_) * real_rate());
      longest_backlog_ = std::max(longest_backlog_, waiting);
    }
  }

  [[nodiscard]] int late_lines() const { return late_lines_; }
  [[nodiscard]] double longest_backlog() const { return longest_backlog_; }
  [[nodiscard]] double backlog_limit() const { return 2 * deployment_.push_rate; }
  [[nodiscard]] std::size_t without_whole_table() const {
    return static_cast<std::size_t>(std::count_if(proxies_.begin(), proxies_.end(),
                                                  [](const FakeProxy& p) { return !p.has_whole_table; }));
  }
  // The lines of the channel that the module charged for, and those that were really written.
  [[nodiscard]] double charged_lines() { return host_->take_stats().channel_written; }
  [[nodiscard]] double written_lines() const { return written_lines_; }

  void set_health(unsigned number, discovery::Health health) {
    health_[number] = health;
    if (health == discovery::Health::ready) told_.erase(host_name(number));
    if (health == discovery::Health::draining) told_[host_name(number)] = now_;
    discovery::BackendList list{++version_, false, {{host_name(number), zone_name(number), health, 1, 0}}};
    host_->handle_list(list);
  }
  void join(unsigned p) {
    FakeProxy& proxy = proxies_[p];
    proxy.stream = ++last_stream_;
    proxy.joined_at = now_;
    proxy.has_whole_table = false;
    proxy_by_stream_[proxy.stream] = p;
    const auto result =
        host_->join(proxy.stream, ProxyJoin{static_cast<std::uint16_t>(p), zone_name(p), 1, false});
    ASSERT_EQ(result.refusal, nullptr);
  }

 private:
  struct InFlight {
    double arrival = 0;
    StreamId stream = 0;
    unsigned proxy = 0;
    std::shared_ptr<const EncodedMessage> message;
  };

  [[nodiscard]] double real_rate() const { return deployment_.push_rate * deployment_.channel_speed; }
  [[nodiscard]] static Instant instant(double seconds) { return Instant::at_seconds(1000 + seconds); }

  void list_all() {
    discovery::BackendList list{1, true, {}};
    for (unsigned k = 0; k < deployment_.backends; ++k)
      list.rows.push_back({host_name(k), zone_name(k), health_[k], 1, 0});
    host_->handle_list(list);
  }
  void step() {
    for (const auto& send : host_->step(instant(now_)).sends) {
      const double cost = kPerMessage + static_cast<double>(send.message->line_count);
      written_lines_ += cost;
      channel_free_at_ = std::max(channel_free_at_, now_) + cost / real_rate();
      in_flight_.push_back(
          {channel_free_at_ + kPropagation, send.stream, proxy_by_stream_.at(send.stream), send.message});
    }
  }
  void deliver() {
    for (; !in_flight_.empty() && in_flight_.front().arrival <= now_; in_flight_.pop_front()) {
      const InFlight& arrived = in_flight_.front();
      FakeProxy& proxy = proxies_[arrived.proxy];
      if (proxy.stream == arrived.stream) proxy.apply(arrived.message->bytes);
    }
  }
  void check_drains() {
    for (unsigned p = 0; p < proxies_.size(); ++p) {
      const FakeProxy& proxy = proxies_[p];
      if (proxy.stream == 0) continue;
      for (const auto& [host, told] : told_) {
        if (now_ <= std::max(told, proxy.joined_at) + kGrace + kSlack) continue;
        for (const auto& [operation, lines] : proxy.lines)
          if (lines.contains(host) && late_.emplace(proxy.stream, host).second) ++late_lines_;
      }
    }
  }

  Deployment deployment_;
  std::optional<PolicyHost> host_;
  std::vector<FakeProxy> proxies_;
  std::vector<discovery::Health> health_;
  std::map<StreamId, unsigned> proxy_by_stream_;
  std::multimap<double, std::function<void()>> plan_;
  std::map<std::string, double> told_;
  std::set<std::pair<StreamId, std::string>> late_;
  std::deque<InFlight> in_flight_;
  std::uint64_t version_ = 1;
  StreamId last_stream_ = 0;
  double now_ = 0, channel_free_at_ = 0, longest_backlog_ = 0, written_lines_ = 0;
  int late_lines_ = 0;
};

}  // namespace gorsemount::streams::testing

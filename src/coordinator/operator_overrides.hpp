// What persons order, as it stands: listed weights with a lifetime, workers out, zones drained step by step.
// Decides how such an order acts over time; whether it may be given at all is the coordinator's to say.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/time.hpp"

namespace gorsemount::coordinator {

class OperatorOverrides {
 public:
  void set_weight(Instant now, const std::string& backend, double weight, Span lifetime);
  void disable(Instant now, const std::string& backend) { out_[backend] = {true, now}; }
  void enable(Instant now, const std::string& backend) { out_[backend] = {false, now}; }
  void drain(Instant now, const std::string& zone);
  void undrain(Instant now, const std::string& zone);

  struct Say {
    std::optional<double> weight;  // in place of the listed one
    double share = 1;              // of it; 0: drained
    bool out = false;
    bool operator==(const Say&) const = default;
  };
  [[nodiscard]] Say of(const std::string& backend, const std::string& zone, Instant now) const;
  // When anything of it next changes by itself; what ran out is dropped.
  [[nodiscard]] std::optional<Instant> next_change(Instant now);
  [[nodiscard]] bool drained(const std::string& zone) const;  // or on its way there
  [[nodiscard]] bool out(const std::string& backend) const {
    const auto it = out_.find(backend);
    return it != out_.end() && it->second.out;
  }
  [[nodiscard]] bool any() const { return !weights_.empty() || !out_.empty() || !zones_.empty(); }

  // Each order as it stands, with when it was given: of two controllers' orders the later one counts.
  struct Weight {
    double weight = 1;
    Instant until, ordered;
  };
  struct Zone {
    bool down = true;
    double from = 1;  // its share when the order came
    Instant since;
  };
  struct Out {
    bool out = true;
    Instant ordered;
  };
  [[nodiscard]] const std::map<std::string, Weight>& weights() const { return weights_; }
  [[nodiscard]] const std::map<std::string, Out>& outs() const { return out_; }
  [[nodiscard]] const std::map<std::string, Zone>& zones() const { return zones_; }
  // Of an earlier life, or given to another controller; true if it is later than what stands.
  bool recall(const std::string& backend, const Weight& weight);
  bool recall(const std::string& backend, const Out& out);
  bool recall(const std::string& zone, const Zone& order);
  bool forget_zone(const std::string& zone, Instant before);  // taken back, by whoever ordered it

 private:
  [[nodiscard]] static double share(const Zone& zone, Instant now);

  std::map<std::string, Weight> weights_;
  std::map<std::string, Out> out_;
  std::map<std::string, Zone> zones_;
};

}  // namespace gorsemount::coordinator

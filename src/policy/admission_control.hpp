// Computes how much of each operation the proxies admit, and how often they retry. In an overload operations
// are admitted by billed value per cost, up to the capacity that the fleet has shown.
#pragma once

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "policy/policy.hpp"

namespace gorsemount {

struct Admission {
  RetryPolicy retries = RetryPolicy::if_unprocessed;
  double limit = 1;  // in the unit of the admission mode
};

class AdmissionControl {
 public:
  // What the last round of reports showed of the fleet.
  struct FleetState {
    double goodput = 0;            // succeeded tries a second
    double weight_in_use = 0;      // listed weight of the backends that are in use
    double proxy_rate = 0;         // usual invocations a second of all joined proxies
    double mean_utilization = 0;   // of the backends' processors; 0 if not reported
    double common_error_rate = 0;  // error rate that the backends have in common
    double median_latency = 0;     // over the backends, s
    double mean_objective = 0;     // mean latency objective, s
  };

  // Keeps a reference to the settings.
  explicit AdmissionControl(const Settings& settings);

  void record_demand(const DemandReport& report);
  void forget(ProxyId proxy);
  // The counts of the last `elapsed` seconds, compared with the rates that the proxies reported.
  void update_arrival_ratios(double elapsed);
  void update(const FleetState& fleet);

  [[nodiscard]] bool has_limits() const { return !admissions_.empty(); }
  [[nodiscard]] const std::vector<Admission>& admissions() const { return admissions_; }  // by operation

  // Cost a second at full utilization per unit of listed weight, for the last rounds.
  [[nodiscard]] const std::deque<double>& capacity_samples() const { return capacity_samples_; }
  void restore_capacity_samples(const std::vector<double>& samples);

 private:
  struct OperationDemand {
    OperationId operation;
    double cost = 0, value = 0;  // the settings give no cost, so the latency objective stands for it
    std::vector<double> rates;   // as last reported
    double fraction = 1;         // of the sum of the rates that really arrives
    double reported = 0, total = 0;
  };
  struct Admitted {
    double rate = 0, cost = 0;  // a second, under the current limits
  };

  [[nodiscard]] bool limits_by_rate() const { return settings_.admission_mode == AdmissionMode::rate; }
  void update_retries(const FleetState& fleet);
  [[nodiscard]] std::vector<OperationDemand> operation_demands() const;
  Admitted add_reported_rates(std::vector<OperationDemand>& demands) const;
  void update_capacity(const FleetState& fleet, const Admitted& admitted);
  void update_limits(std::vector<OperationDemand> demands, double available_cost);

  const Settings& settings_;
  std::map<std::pair<ProxyId, OperationId>, double> demand_;  // invocations a second, as last reported
  std::vector<double> arrived_;  // per operation, since the last update of the ratios
  // Per operation: arrivals divided by the sum of the reported rates, for the last rounds.
  std::vector<std::deque<double>> arrival_ratios_;
  std::vector<Admission> admissions_;
  std::deque<double> capacity_samples_;
  double correction_ = 1;
  bool limiting_ = false;  // some admission limit is below full
};

}  // namespace gorsemount

#include "policy/admission_control.hpp"

#include <algorithm>

#include "policy/evidence.hpp"

namespace gorsemount {

namespace {

constexpr double kUnlimitedRate = 1e6;    // above any proxy's rate: admits everything
constexpr double kMaxUtilization = 0.78;  // above it the slower backends queue
constexpr double kMinShare = 0.02;        // of an operation's demand

// Max-min fair limit: the per-proxy rate at which proxies with the demands `rates` admit `remaining` a
// second in total.
double fair_rate_limit(std::vector<double> rates, double remaining) {
  std::sort(rates.begin(), rates.end());
  for (std::size_t p = 0; p < rates.size(); remaining -= rates[p++])
    if (const double even = remaining / static_cast<double>(rates.size() - p); rates[p] >= even) return even;
  return kUnlimitedRate;
}

// Congestion keeps processors busy; errors in an idle fleet have another cause that limits do not cure.
bool is_congested(const AdmissionControl::FleetState& fleet) {
  return fleet.mean_utilization > 0.7 &&
         (fleet.common_error_rate > 0.1 || fleet.median_latency > 0.6 * fleet.mean_objective);
}

}  // namespace

AdmissionControl::AdmissionControl(const Settings& settings)
    : settings_{settings},
      arrived_(settings.operations.size()),
      arrival_ratios_(settings.operations.size()) {}

void AdmissionControl::record_demand(const DemandReport& report) {
  demand_[{report.proxy, report.operation}] = report.arrived / report.interval.seconds();
  arrived_[report.operation.value] += report.arrived;
}

void AdmissionControl::forget(ProxyId proxy) {
  for (std::size_t k = 0; k < arrived_.size(); ++k)
    demand_.erase({proxy, OperationId{static_cast<std::uint8_t>(k)}});
}

// A proxy with few invocations reports only in intervals in which something arrived, so the sum of the
// last reported rates exceeds the real rate. The counts over all reports give the ratio; the median
// over some rounds is used, since some reports are late.
void AdmissionControl::update_arrival_ratios(double elapsed) {
  std::vector<double> reported_totals(arrival_ratios_.size(), 1e-9);
  for (const auto& [key, rate] : demand_) reported_totals[key.second.value] += rate;
  for (std::size_t k = 0; k < arrival_ratios_.size(); ++k) {
    arrival_ratios_[k].push_back(std::exchange(arrived_[k], 0) / elapsed / reported_totals[k]);
    if (arrival_ratios_[k].size() > kMaxSamples) arrival_ratios_[k].pop_front();
  }
}

void AdmissionControl::restore_capacity_samples(const std::vector<double>& samples) {
  if (capacity_samples_.empty()) capacity_samples_.assign(samples.begin(), samples.end());
  while (capacity_samples_.size() > kMaxSamples) capacity_samples_.pop_front();
}

void AdmissionControl::update(const FleetState& fleet) {
  admissions_.resize(settings_.operations.size(),
                     Admission{settings_.default_retries, limits_by_rate() ? kUnlimitedRate : 1});
  update_retries(fleet);
  if (settings_.admission_mode == AdmissionMode::off) return;
  auto demands = operation_demands();
  const Admitted admitted = add_reported_rates(demands);
  if (admitted.rate <= 0) return;
  update_capacity(fleet, admitted);
  if (capacity_samples_.empty()) return;
  const double available_cost = kMaxUtilization * correction_ * fleet.weight_in_use * fleet.proxy_rate *
                                quantile({capacity_samples_.begin(), capacity_samples_.end()}, 0.5);
  update_limits(std::move(demands), available_cost);
}

// Retries stay at the configured default, at most if unprocessed for operations that are not idempotent: a
// try that may be retried is given up early, and the work that it leaves running can overload a busy fleet.
void AdmissionControl::update_retries(const FleetState& fleet) {
  for (std::size_t k = 0; k < admissions_.size(); ++k) {
    const bool idempotent = settings_.operations[k].effect == Effect::idempotent;
    const auto max_retries = idempotent ? RetryPolicy::two : RetryPolicy::if_unprocessed;
    // In a general failure retries add to the overload.
    admissions_[k].retries =
        fleet.common_error_rate > 0.3 ? RetryPolicy::none : std::min(settings_.default_retries, max_retries);
  }
}

std::vector<AdmissionControl::OperationDemand> AdmissionControl::operation_demands() const {
  std::vector<OperationDemand> demands(settings_.operations.size());
  for (std::size_t k = 0; k < demands.size(); ++k) {
    const Operation& operation = settings_.operations[k];
    demands[k].operation = OperationId{static_cast<std::uint8_t>(k)};
    demands[k].cost = operation.latency_objective.seconds();
    demands[k].value = operation.billed_value;
    const auto& ratios = arrival_ratios_[k];
    if (!ratios.empty()) demands[k].fraction = std::min(1.0, quantile({ratios.begin(), ratios.end()}, 0.5));
  }
  return demands;
}

AdmissionControl::Admitted AdmissionControl::add_reported_rates(std::vector<OperationDemand>& demands) const {
  Admitted admitted;
  for (const auto& [key, rate] : demand_) {
    OperationDemand& item = demands[key.second.value];
    const double limit = admissions_[key.second.value].limit;
    const double limited_rate = limits_by_rate() ? std::min(rate, limit) : rate * std::min(1.0, limit);
    const double admitted_rate = item.fraction * limited_rate;
    item.rates.push_back(rate);
    item.reported += rate;
    item.total += item.fraction * rate;
    admitted.rate += admitted_rate;
    admitted.cost += admitted_rate * item.cost;
  }
  return admitted;
}

// Capacity is the cost carried per unit of processor utilization, of listed weight in use and of this
// coordinator's part of the traffic, which grows as proxies return after a restart. It is the median over
// the last rounds without congestion, since congestion hides it.
void AdmissionControl::update_capacity(const FleetState& fleet, const Admitted& admitted) {
  const bool congested = is_congested(fleet);
  // A lower utilization gives no useful estimate.
  const bool usable = fleet.mean_utilization > 0.3 && fleet.weight_in_use > 0;
  if (usable && (!congested || capacity_samples_.empty()))
    capacity_samples_.push_back(fleet.goodput * admitted.cost / admitted.rate / fleet.mean_utilization /
                                fleet.weight_in_use / fleet.proxy_rate);
  if (capacity_samples_.empty()) return;
  if (capacity_samples_.size() > kMaxSamples) capacity_samples_.pop_front();
  // Corrects for what the estimate misses: more expensive work, queues to clear, limits that admit less than
  // stated.
  if (congested) {
    correction_ = std::max(0.5, correction_ * 0.75);
  } else if (correction_ < 1 || (limiting_ && fleet.mean_utilization < 0.75)) {
    correction_ = std::min(1.3, correction_ * 1.15);
  }
}

void AdmissionControl::update_limits(std::vector<OperationDemand> demands, double available_cost) {
  limiting_ = false;
  std::stable_sort(demands.begin(), demands.end(), [](const OperationDemand& a, const OperationDemand& b) {
    return a.value / a.cost > b.value / b.cost;
  });
  for (const OperationDemand& demand : demands) {
    const double share =
        demand.total > 0 ? std::clamp(available_cost / (demand.total * demand.cost), kMinShare, 1.0) : 1;
    available_cost -= share * demand.total * demand.cost;
    limiting_ = limiting_ || share < 1;
    double limit = share;
    if (limits_by_rate())
      limit = share < 1 ? fair_rate_limit(demand.rates, share * demand.reported) : kUnlimitedRate;
    admissions_[demand.operation.value].limit = limit;
  }
  if (!limiting_) correction_ = std::min(correction_, 1.0);
}

}  // namespace gorsemount

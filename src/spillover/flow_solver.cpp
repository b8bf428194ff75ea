#include "spillover/flow_solver.hpp"

#include <glpk.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <stdexcept>

namespace gorsemount::spillover {

namespace {

double tier_cost(int tier) { return tier <= 0 ? 0 : std::pow(kTierCostFactor, tier - 1); }

// The columns are the flow of each operation from each proxy zone to each backend zone, then the demand lost,
// the absolute change of each flow, and the peak load ratio.
class LinearProgram {
 public:
  explicit LinearProgram(const FlowProblem& problem)
      : problem_{problem},
        zones_{problem.tier.size()},
        backends_{problem.capacity.size()},
        lp_{glp_create_prob(), glp_delete_prob} {
    glp_term_out(GLP_OFF);
    const std::size_t flow_columns = problem.operations.size() * zones_ * backends_,
                      lost_columns = problem.operations.size() * zones_, change_columns = zones_ * backends_;
    glp_add_cols(lp_.get(), static_cast<int>(flow_columns + lost_columns + change_columns + 1));
    for (std::size_t k = 0; k < flow_columns + lost_columns + change_columns + 1; ++k)
      glp_set_col_bnds(lp_.get(), static_cast<int>(k + 1), GLP_LO, 0, 0);
    for (std::size_t c = 0; c < problem.operations.size(); ++c)
      for (std::size_t z = 0; z < zones_; ++z) {
        std::vector<std::pair<int, double>> row{{lost(c, z), 1}};
        for (std::size_t b = 0; b < backends_; ++b) {
          if (problem.tier[z][b] < 0) {
            glp_set_col_bnds(lp_.get(), flow(c, z, b), GLP_FX, 0, 0);
          } else {
            row.emplace_back(flow(c, z, b), 1);
          }
        }
        // A proxy zone that reaches no backend zone loses its work even under overload.
        if (!problem.overload_shares.empty() && row.size() > 1)
          glp_set_col_bnds(lp_.get(), lost(c, z), GLP_FX, 0, 0);
        add_constraint(row, GLP_FX, std::max(0.0, problem.operations[c].demand[z]));
      }
    for (std::size_t b = 0; b < backends_; ++b) {
      std::vector<std::pair<int, double>> row;
      for (std::size_t c = 0; c < problem.operations.size(); ++c)
        for (std::size_t z = 0; z < zones_; ++z) row.emplace_back(flow(c, z, b), problem.operations[c].cost);
      if (problem.overload_shares.empty()) {
        add_constraint(row, GLP_UP, std::max(0.0, problem.capacity[b]));
      } else {
        row.emplace_back(peak_ratio(), -std::max(1e-6, problem.overload_shares[b]));
        add_constraint(row, GLP_UP, 0);
      }
    }
    if (problem.current_flow.empty()) return;
    for (std::size_t z = 0; z < zones_; ++z)
      for (std::size_t b = 0; b < backends_; ++b)
        for (const double sign : {1.0, -1.0}) {
          // change >= sign * (flow - now)
          std::vector<std::pair<int, double>> row{{change(z, b), 1}};
          for (std::size_t c = 0; c < problem.operations.size(); ++c)
            row.emplace_back(flow(c, z, b), -sign * problem.operations[c].cost);
          add_constraint(row, GLP_LO, -sign * problem.current_flow[z][b]);
        }
  }

  enum class Objective { peak_ratio, lost_value, cross_zone_cost, change };
  double minimize(Objective objective) {
    std::vector<std::pair<int, double>> terms;
    if (objective == Objective::peak_ratio) {
      terms.emplace_back(peak_ratio(), 1);
    } else if (objective == Objective::lost_value) {
      for (std::size_t c = 0; c < problem_.operations.size(); ++c)
        for (std::size_t z = 0; z < zones_; ++z)
          terms.emplace_back(lost(c, z), problem_.operations[c].billed_value);
    } else if (objective == Objective::cross_zone_cost) {
      for (std::size_t c = 0; c < problem_.operations.size(); ++c)
        for (std::size_t z = 0; z < zones_; ++z)
          for (std::size_t b = 0; b < backends_; ++b)
            if (problem_.tier[z][b] > 0)
              terms.emplace_back(flow(c, z, b), problem_.operations[c].cost * tier_cost(problem_.tier[z][b]));
    } else {
      for (std::size_t z = 0; z < zones_; ++z)
        for (std::size_t b = 0; b < backends_; ++b) terms.emplace_back(change(z, b), 1);
    }
    for (int k = 1; k <= glp_get_num_cols(lp_.get()); ++k) glp_set_obj_coef(lp_.get(), k, 0);
    for (const auto& [column, value] : terms) glp_set_obj_coef(lp_.get(), column, value);
    glp_set_obj_dir(lp_.get(), GLP_MIN);
    glp_smcp parameters;
    glp_init_smcp(&parameters);
    parameters.msg_lev = GLP_MSG_OFF;
    if (glp_simplex(lp_.get(), &parameters) != 0 || glp_get_status(lp_.get()) != GLP_OPT)
      throw std::runtime_error{"the flow problem has no solution"};
    const double optimum = glp_get_obj_val(lp_.get());
    // Later objectives must keep this optimum, within the solver's rounding error.
    if (!terms.empty()) add_constraint(terms, GLP_UP, optimum + 1e-7 * (1 + std::abs(optimum)));
    return optimum;
  }

  [[nodiscard]] double value_of(int column) const {
    return std::max(0.0, glp_get_col_prim(lp_.get(), column));
  }
  [[nodiscard]] int flow(std::size_t c, std::size_t z, std::size_t b) const {
    return static_cast<int>((c * zones_ + z) * backends_ + b + 1);
  }
  [[nodiscard]] int lost(std::size_t c, std::size_t z) const {
    return static_cast<int>(problem_.operations.size() * zones_ * backends_ + c * zones_ + z + 1);
  }
  [[nodiscard]] int peak_ratio() const { return glp_get_num_cols(lp_.get()); }
  [[nodiscard]] int change(std::size_t z, std::size_t b) const {
    return static_cast<int>(problem_.operations.size() * zones_ * (backends_ + 1) + z * backends_ + b + 1);
  }

 private:
  void add_constraint(const std::vector<std::pair<int, double>>& terms, int kind, double bound) {
    const int row = glp_add_rows(lp_.get(), 1);
    glp_set_row_bnds(lp_.get(), row, kind, bound, bound);
    std::vector<int> columns{0};
    std::vector<double> values{0};
    for (const auto& [column, value] : terms) columns.push_back(column), values.push_back(value);
    glp_set_mat_row(lp_.get(), row, static_cast<int>(terms.size()), columns.data(), values.data());
  }

  const FlowProblem& problem_;
  std::size_t zones_, backends_;
  std::unique_ptr<glp_prob, void (*)(glp_prob*)> lp_;
};

}  // namespace

FlowSolution solve(const FlowProblem& problem) {
  LinearProgram program{problem};
  FlowSolution solution;
  solution.lost_value = program.minimize(LinearProgram::Objective::lost_value);
  if (!problem.overload_shares.empty())
    solution.peak_load_ratio = program.minimize(LinearProgram::Objective::peak_ratio);
  // Under overload keeping the current flow comes before the tiers; otherwise the tiers come first.
  if (!problem.overload_shares.empty() && !problem.current_flow.empty())
    solution.moved_cost = program.minimize(LinearProgram::Objective::change);
  solution.cross_zone_cost = program.minimize(LinearProgram::Objective::cross_zone_cost);
  if (problem.overload_shares.empty() && !problem.current_flow.empty())
    solution.moved_cost = program.minimize(LinearProgram::Objective::change);
  const std::size_t zones = problem.tier.size(), backends = problem.capacity.size();
  solution.flow.assign(zones, std::vector<double>(backends, 0));
  solution.admitted.assign(problem.operations.size(), std::vector<double>(zones, 1));
  for (std::size_t c = 0; c < problem.operations.size(); ++c)
    for (std::size_t z = 0; z < zones; ++z) {
      for (std::size_t b = 0; b < backends; ++b)
        solution.flow[z][b] += program.value_of(program.flow(c, z, b)) * problem.operations[c].cost;
      if (problem.operations[c].demand[z] > 0)
        solution.admitted[c][z] =
            std::clamp(1 - program.value_of(program.lost(c, z)) / problem.operations[c].demand[z], 0.0, 1.0);
    }
  return solution;
}

}  // namespace gorsemount::spillover

#include "spillover/flow_solver.hpp"

#include <glpk.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <stdexcept>

namespace gorsemount::spillover {

namespace {

double tier_cost(int tier) { return tier <= 0 ? 0 : std::pow(kTierCost, tier - 1); }

// Columns: flow of each class from each proxy zone to each backend zone, what is lost, and what changes up or
// down.
class Program {
 public:
  explicit Program(const FlowProblem& p)
      : p_{p}, zones_{p.tier.size()}, backends_{p.capacity.size()}, lp_{glp_create_prob(), glp_delete_prob} {
    glp_term_out(GLP_OFF);
    const std::size_t flows = p.operations.size() * zones_ * backends_, losts = p.operations.size() * zones_,
                      changes = zones_ * backends_;
    glp_add_cols(lp_.get(), static_cast<int>(flows + losts + changes + 1));
    for (std::size_t k = 0; k < flows + losts + changes + 1; ++k)
      glp_set_col_bnds(lp_.get(), static_cast<int>(k + 1), GLP_LO, 0, 0);
    for (std::size_t c = 0; c < p.operations.size(); ++c)
      for (std::size_t z = 0; z < zones_; ++z) {
        std::vector<std::pair<int, double>> row{{lost(c, z), 1}};
        for (std::size_t b = 0; b < backends_; ++b) {
          if (p.tier[z][b] < 0) {
            glp_set_col_bnds(lp_.get(), flow(c, z, b), GLP_FX, 0, 0);
          } else {
            row.emplace_back(flow(c, z, b), 1);
          }
        }
        // Where nothing can be reached at all, even in strain work is lost.
        if (!p.even.empty() && row.size() > 1) glp_set_col_bnds(lp_.get(), lost(c, z), GLP_FX, 0, 0);
        add(row, GLP_FX, std::max(0.0, p.operations[c].demand[z]));
      }
    for (std::size_t b = 0; b < backends_; ++b) {
      std::vector<std::pair<int, double>> row;
      for (std::size_t c = 0; c < p.operations.size(); ++c)
        for (std::size_t z = 0; z < zones_; ++z) row.emplace_back(flow(c, z, b), p.operations[c].cost);
      if (p.even.empty()) {
        add(row, GLP_UP, std::max(0.0, p.capacity[b]));
      } else {
        row.emplace_back(fullest(), -std::max(1e-6, p.even[b]));
        add(row, GLP_UP, 0);
      }
    }
    if (p.now.empty()) return;
    for (std::size_t z = 0; z < zones_; ++z)
      for (std::size_t b = 0; b < backends_; ++b)
        for (const double sign : {1.0, -1.0}) {
          // change >= sign * (flow - now)
          std::vector<std::pair<int, double>> row{{change(z, b), 1}};
          for (std::size_t c = 0; c < p.operations.size(); ++c)
            row.emplace_back(flow(c, z, b), -sign * p.operations[c].cost);
          add(row, GLP_LO, -sign * p.now[z][b]);
        }
  }

  enum class Aim { fullest, lost, crossings, change };
  double minimize(Aim aim) {
    std::vector<std::pair<int, double>> terms;
    if (aim == Aim::fullest) {
      terms.emplace_back(fullest(), 1);
    } else if (aim == Aim::lost) {
      for (std::size_t c = 0; c < p_.operations.size(); ++c)
        for (std::size_t z = 0; z < zones_; ++z) terms.emplace_back(lost(c, z), p_.operations[c].value);
    } else if (aim == Aim::crossings) {
      for (std::size_t c = 0; c < p_.operations.size(); ++c)
        for (std::size_t z = 0; z < zones_; ++z)
          for (std::size_t b = 0; b < backends_; ++b)
            if (p_.tier[z][b] > 0)
              terms.emplace_back(flow(c, z, b), p_.operations[c].cost * tier_cost(p_.tier[z][b]));
    } else {
      for (std::size_t z = 0; z < zones_; ++z)
        for (std::size_t b = 0; b < backends_; ++b) terms.emplace_back(change(z, b), 1);
    }
    for (int k = 1; k <= glp_get_num_cols(lp_.get()); ++k) glp_set_obj_coef(lp_.get(), k, 0);
    for (const auto& [column, value] : terms) glp_set_obj_coef(lp_.get(), column, value);
    glp_set_obj_dir(lp_.get(), GLP_MIN);
    glp_smcp how;
    glp_init_smcp(&how);
    how.msg_lev = GLP_MSG_OFF;
    if (glp_simplex(lp_.get(), &how) != 0 || glp_get_status(lp_.get()) != GLP_OPT)
      throw std::runtime_error{"the flows have no solution"};
    const double best = glp_get_obj_val(lp_.get());
    // What comes after may not undo this, but for the solver's own rounding.
    if (!terms.empty()) add(terms, GLP_UP, best + 1e-7 * (1 + std::abs(best)));
    return best;
  }

  [[nodiscard]] double at(int column) const { return std::max(0.0, glp_get_col_prim(lp_.get(), column)); }
  [[nodiscard]] int flow(std::size_t c, std::size_t z, std::size_t b) const {
    return static_cast<int>((c * zones_ + z) * backends_ + b + 1);
  }
  [[nodiscard]] int lost(std::size_t c, std::size_t z) const {
    return static_cast<int>(p_.operations.size() * zones_ * backends_ + c * zones_ + z + 1);
  }
  [[nodiscard]] int fullest() const { return glp_get_num_cols(lp_.get()); }
  [[nodiscard]] int change(std::size_t z, std::size_t b) const {
    return static_cast<int>(p_.operations.size() * zones_ * (backends_ + 1) + z * backends_ + b + 1);
  }

 private:
  void add(const std::vector<std::pair<int, double>>& terms, int kind, double bound) {
    const int row = glp_add_rows(lp_.get(), 1);
    glp_set_row_bnds(lp_.get(), row, kind, bound, bound);
    std::vector<int> columns{0};
    std::vector<double> values{0};
    for (const auto& [column, value] : terms) columns.push_back(column), values.push_back(value);
    glp_set_mat_row(lp_.get(), row, static_cast<int>(terms.size()), columns.data(), values.data());
  }

  const FlowProblem& p_;
  std::size_t zones_, backends_;
  std::unique_ptr<glp_prob, void (*)(glp_prob*)> lp_;
};

}  // namespace

FlowSolution solve(const FlowProblem& p) {
  Program program{p};
  FlowSolution s;
  s.lost = program.minimize(Program::Aim::lost);
  if (!p.even.empty()) s.fullest = program.minimize(Program::Aim::fullest);
  // In strain what stands moves no more than evenness asks for; else tiers go before that.
  if (!p.even.empty() && !p.now.empty()) s.change = program.minimize(Program::Aim::change);
  s.crossings = program.minimize(Program::Aim::crossings);
  if (p.even.empty() && !p.now.empty()) s.change = program.minimize(Program::Aim::change);
  const std::size_t zones = p.tier.size(), backends = p.capacity.size();
  s.flow.assign(zones, std::vector<double>(backends, 0));
  s.admitted.assign(p.operations.size(), std::vector<double>(zones, 1));
  for (std::size_t c = 0; c < p.operations.size(); ++c)
    for (std::size_t z = 0; z < zones; ++z) {
      for (std::size_t b = 0; b < backends; ++b)
        s.flow[z][b] += program.at(program.flow(c, z, b)) * p.operations[c].cost;
      if (p.operations[c].demand[z] > 0)
        s.admitted[c][z] =
            std::clamp(1 - program.at(program.lost(c, z)) / p.operations[c].demand[z], 0.0, 1.0);
    }
  return s;
}

}  // namespace gorsemount::spillover

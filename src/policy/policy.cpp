// bootstrap
#include "policy/policy.hpp"
#include <map>
#include <set>
namespace gorsemount {
struct Policy::State {
  Settings s;
  std::map<BackendId, Listed::Entry> roster;
  std::map<BackendId, double> sent;
  std::set<ProxyId> bound;
  bool first = true;
};
Policy::Policy(Settings settings, std::uint64_t) : state_{std::make_unique<State>()} { state_->s = settings; }
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
Policy::~Policy() = default;
std::vector<Order> Policy::handle(Instant now, const std::vector<Event>& events) {
  std::vector<Order> out;
  auto& st = *state_;
  std::vector<ProxyId> joins;
  if (st.first && st.s.ask_for_list) out.push_back(FollowList{});
  st.first = false;
  for (auto& e : events) {
    if (auto* l = std::get_if<Listed>(&e)) {
      if (l->scope == ListScope::failed) { out.push_back(FollowList{}); continue; }
      if (l->scope != ListScope::changes) st.roster.clear();
      for (auto& x : l->entries) { if (x.availability == Availability::gone) st.roster.erase(x.backend); else st.roster[x.backend] = x; }
    }
    if (auto* j = std::get_if<ProxyJoined>(&e)) joins.push_back(j->proxy);
    if (auto* j = std::get_if<ProxyLeft>(&e)) st.bound.erase(j->proxy);
  }
  std::map<BackendId, double> want;
  for (auto& [b, x] : st.roster) if (x.availability == Availability::ready) {
    double w = x.weight;
    want[b] = w;
  }
  for (auto& [b, w] : st.sent) if (!want.count(b)) out.push_back(SetLine{TableId{0}, b, 0});
  for (auto& [b, w] : want) if (!st.sent.count(b) || st.sent[b] != w) out.push_back(SetLine{TableId{0}, b, w});
  st.sent = want;
  for (auto p : joins) out.push_back(BindProxy{p, TableId{0}});
  (void)now;
  return out;
}
}  // namespace gorsemount

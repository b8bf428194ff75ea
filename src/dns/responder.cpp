#include "dns/responder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace gorsemount::dns {

using coordinator::PublishedState;
using coordinator::RoutingView;
using coordinator::SampledLine;

namespace {

constexpr std::uint16_t kOwner = 0xc00c;  // the question's name, where every answer begins
constexpr double kWeightTop = 10000;      // of the heaviest line: a hundredth of a hundredth still counts
constexpr std::uint16_t kPriority = 10;   // of the first tier
constexpr int kTiers = 3;                 // own, near, far

void put16(std::string& out, std::uint16_t v) {
  out.push_back(static_cast<char>(v >> 8U)), out.push_back(static_cast<char>(v));
}
void put32(std::string& out, std::uint32_t v) {
  put16(out, static_cast<std::uint16_t>(v >> 16U)), put16(out, static_cast<std::uint16_t>(v));
}
void head(std::string& out, std::uint16_t owner, Type type, std::uint32_t ttl, std::size_t size) {
  put16(out, owner), put16(out, static_cast<std::uint16_t>(type)), put16(out, kIn), put32(out, ttl);
  put16(out, static_cast<std::uint16_t>(size));
}
std::string_view address_bytes(const Address& a) {
  return {reinterpret_cast<const char*>(a.bytes.data()), a.v6 ? 16U : 4U};
}

std::string label(std::string_view text) {
  std::string out(1, static_cast<char>(text.size()));
  for (const char c : text) out.push_back(static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c));
  return out;
}

}  // namespace

struct Responder::Reply {
  Counts counts;
  Code code = Code::no_error;
  bool truncated = false;
  bool negative = false;  // a SOA in the authority section says how long that holds (RFC 2308)
  unsigned scope = 0;
  std::size_t limit = 0;  // bytes, the OPT record not counted
};

Responder::Responder(ResponderSettings settings, std::shared_ptr<const coordinator::GroupMap> groups)
    : s_{std::move(settings)},
      origin_{to_wire(s_.origin)},
      hostmaster_{to_wire(s_.hostmaster)},
      workers_{label("w") + origin_},
      groups_{std::move(groups)} {
  for (const auto& name : s_.nameservers) nameservers_.push_back(to_wire(name));
}

void Responder::make_names() {
  names_.clear();
  names_[""] = {What::apex, 0, {}};
  names_[label("w")] = names_[label("_tcp")] = {What::empty, 0, {}};
  for (const auto& ns : nameservers_)
    if (ns.size() > origin_.size() && ns.ends_with(origin_)) {
      std::string below = ns.substr(0, ns.size() - origin_.size());
      // What stands between is there too, without records (RFC 8020).
      for (std::size_t at = 1U + static_cast<unsigned char>(below[0]); at < below.size();
           at += 1U + static_cast<unsigned char>(below[at]))
        names_.try_emplace(below.substr(at), Entry{What::empty, 0, {}});
      names_[below] = {What::nameserver, 0, {}};
    }
  for (std::size_t k = 0; k < s_.operations.size(); ++k) {
    names_[label(s_.operations[k])] = {What::service, k, {}};
    names_[label("_" + s_.operations[k]) + label("_tcp")] = {What::srv, k, {}};
  }
  for (const auto& [id, known] : *published_->directory)
    names_[label(known.name) + label("w")] = {What::worker, 0, id};
}

// Lines as records, each with the weight that it has in this answer. `base`: where the answer section begins,
// so that addresses can point at the targets. RFC 2782: a target's name is not compressed.
void Responder::write_srv(std::string& out, std::string& glue, std::size_t base,
                          const std::vector<SampledLine>& drawn, const Ready& ready) const {
  // Weights count among records of one priority (RFC 2782).
  std::array<double, kTiers> heaviest{};
  const auto tier_of = [&](const SampledLine& d) {
    return static_cast<std::size_t>(std::clamp(ready.view->lines[d.index].tier, 0, kTiers - 1));
  };
  for (const auto& d : drawn) heaviest[tier_of(d)] = std::max(heaviest[tier_of(d)], d.weight);
  for (const auto& d : drawn) {
    const std::size_t tier = tier_of(d);
    const std::string& target = ready.targets[d.index];
    const Endpoint& at = ready.at[d.index];
    head(out, kOwner, Type::SRV, ready.ttl, 6 + target.size());
    // Never 0 for a line that is wanted: RFC 2782 gives such a record next to nothing.
    const double weight = std::max(1.0, std::round(d.weight / heaviest[tier] * kWeightTop));
    put16(out, static_cast<std::uint16_t>(kPriority + tier)), put16(out, static_cast<std::uint16_t>(weight)),
        put16(out, at.port);
    const std::size_t place = base + out.size();
    out += target;
    if (place < 0x4000) {
      head(glue, static_cast<std::uint16_t>(0xc000U | place), at.address.v6 ? Type::AAAA : Type::A, ready.ttl,
           at.address.v6 ? 16 : 4);
      glue += address_bytes(at.address);
    }
  }
}

std::shared_ptr<Responder::Ready> Responder::make_ready(std::shared_ptr<const RoutingView> view) const {
  auto ready = std::make_shared<Ready>();
  ready->view = std::move(view);
  ready->ttl = static_cast<std::uint32_t>(published_->lifetime.seconds());
  ready->directory = published_->directory.get();
  std::vector<SampledLine> all;
  for (std::size_t k = 0; k < ready->view->lines.size(); ++k) {
    const auto& line = ready->view->lines[k];
    const auto& known = published_->directory->at(line.backend);
    ready->targets.push_back(label(known.name) + workers_), ready->at.push_back(known.at);
    (known.at.address.v6 ? ready->v6 : ready->v4).push_back(k);
    (known.at.address.v6 ? ready->lines_v6 : ready->lines_v4).push_back(line);
    all.push_back({k, line.weight});
  }
  if (all.size() <= s_.max_srv_records) {
    const std::size_t base = kHeader + label("_" + s_.operations[ready->view->operation.value]).size() +
                             label("_tcp").size() + origin_.size() + 4;
    write_srv(ready->srv, ready->glue, base, all, *ready);
    ready->lines = static_cast<std::uint16_t>(all.size());
  }
  return ready;
}

void Responder::publish(std::shared_ptr<const PublishedState> published,
                        std::shared_ptr<const coordinator::GroupMap> groups) {
  const bool renamed = !published_ || published_->directory != published->directory;
  published_ = std::move(published);
  groups_ = std::move(groups);
  if (renamed) make_names();
  std::map<std::uint64_t, std::shared_ptr<Ready>> known;
  for (const auto& row : ready_)
    for (const auto& ready : row) known.emplace(ready->view->version, ready);
  const auto ttl = static_cast<std::uint32_t>(published_->lifetime.seconds());
  std::vector<std::vector<std::shared_ptr<Ready>>> next(published_->views.size());
  for (std::size_t g = 0; g < next.size(); ++g) {
    for (const auto& view : published_->views[g]) {
      auto& ready = known[view->version];
      if (!ready || ready->ttl != ttl || ready->directory != published_->directory.get()) {
        const auto was = ready;
        ready = make_ready(view);
        if (was) ready->phase = was->phase, ready->admission = was->admission;
      }
      // Draws go on where the group's last view of the operation left off.
      const std::size_t op = view->operation.value;
      if (g < ready_.size() && op < ready_[g].size() && ready_[g][op] != ready && ready->phase.unused())
        ready->phase = ready_[g][op]->phase, ready->admission = ready_[g][op]->admission;
      next[g].push_back(ready);
    }
  }
  ready_ = std::move(next);
}

void Responder::soa(Writer& w, std::uint16_t owner, std::uint32_t ttl) const {
  const Name& mname = nameservers_.front();
  w.u16(owner), w.u16(static_cast<std::uint16_t>(Type::SOA)), w.u16(kIn), w.u32(ttl);
  w.u16(static_cast<std::uint16_t>(mname.size() + hostmaster_.size() + 20));
  w.text(mname), w.text(hostmaster_);
  w.u32(static_cast<std::uint32_t>(published_->version));
  // Refresh, retry and expiry mean something to secondaries only, of which there are none.
  w.u32(60), w.u32(10), w.u32(300), w.u32(s_.negative_ttl);
}

void Responder::addresses(Writer& w, const Query& q, const std::vector<Endpoint>& at, std::uint32_t ttl,
                          Reply& reply) const {
  for (const auto& e : at) {
    const std::string_view bytes = address_bytes(e.address);
    w.u16(kOwner), w.u16(static_cast<std::uint16_t>(q.type)), w.u16(kIn), w.u32(ttl);
    w.u16(static_cast<std::uint16_t>(bytes.size())), w.text(bytes);
    ++reply.counts.answer;
  }
  if (at.empty()) reply.negative = true;
}

// An operation's own name: addresses drawn by weight, and the admission level in words for clients that obey.
void Responder::answer_service(Writer& w, const Query& q, Ready& ready, Reply& reply) {
  const auto& level = ready.view->level;
  if (q.type == Type::A || q.type == Type::AAAA) {
    const bool v6 = q.type == Type::AAAA;
    const auto& places = v6 ? ready.v6 : ready.v4;
    if (!places.empty() && !ready.admission.admit(level.level)) {
      ++counters_.rate_limited;
      reply.negative = true;
      return;
    }
    std::vector<Endpoint> at;
    for (const auto k : coordinator::sample_uniform(v6 ? ready.lines_v6 : ready.lines_v4, s_.max_addresses,
                                                    ready.phase.next()))
      at.push_back(ready.at[places[k]]);
    addresses(w, q, at, ready.ttl, reply);
  } else if (q.type == Type::TXT) {
    const std::string text =
        fmt::format("level={:.3f} tries={}", std::min(1.0, level.level), static_cast<int>(level.tries));
    w.u16(kOwner), w.u16(static_cast<std::uint16_t>(Type::TXT)), w.u16(kIn), w.u32(ready.ttl);
    w.u16(static_cast<std::uint16_t>(text.size() + 1)), w.u8(static_cast<std::uint8_t>(text.size())),
        w.text(text);
    reply.counts.answer = 1;
  } else {
    reply.negative = true;
  }
}

void Responder::answer_srv(Writer& w, const Query& q, Ready& ready, Reply& reply) {
  if (q.type != Type::SRV || ready.targets.empty()) {
    reply.negative = true;
    return;
  }
  if (!ready.admission.admit(ready.view->level.level)) {
    // RFC 2782: a target of "." says that the service is decidedly not available here. Kept for a second, so
    // that a client that was turned away asks again soon.
    ++counters_.rate_limited;
    w.u16(kOwner), w.u16(static_cast<std::uint16_t>(Type::SRV)), w.u16(kIn), w.u32(std::min(1U, ready.ttl));
    w.u16(7), w.u16(0), w.u16(0), w.u16(0), w.u8(0);
    reply.counts.answer = 1;
    return;
  }
  std::string srv, glue;
  const std::string* records = &ready.srv;
  const std::string* beside = &ready.glue;
  std::uint16_t lines = ready.lines;
  if (lines == 0) {
    const auto drawn = coordinator::sample_tiered(ready.view->lines, s_.max_srv_records, ready.phase.next());
    write_srv(srv, glue, w.size(), drawn, ready);
    records = &srv, beside = &glue, lines = static_cast<std::uint16_t>(drawn.size());
  }
  if (w.size() + records->size() > reply.limit) {
    // Not half a list: a client that took it for the whole would press on those few (RFC 2181, section 9).
    reply.truncated = true;
    return;
  }
  w.text(*records);
  reply.counts.answer = lines;
  // Addresses are a courtesy: without room for them all there are none, and the answer is whole all the same.
  if (w.size() + beside->size() <= reply.limit) {
    w.text(*beside);
    reply.counts.additional = lines;
  }
}

Responder::Answered Responder::answer(std::span<const std::uint8_t> in, const Address& from, bool udp,
                                      std::span<std::uint8_t> out) {
  Answered result;
  Query q;
  const Read read = read_query(in, q);
  if (read == Read::drop || !published_) {
    ++counters_.dropped;
    return result;
  }
  ++counters_.answers;
  Writer w{out};
  Reply reply;
  const std::size_t most = udp ? std::min<std::size_t>(q.udp_size, s_.udp_size) : out.size();
  reply.limit = std::min(most, out.size()) - std::min(most, opt_size(q));
  const auto done = [&] {
    finish(w, q, reply.code, reply.counts, reply.scope, s_.udp_size, reply.truncated);
    result.size = w.full() ? 0 : w.size();
    return result;
  };
  const auto plain = [&](Code code) {
    reply.code = code;
    begin_answer(w, in, q, code, false);
    return done();
  };
  if (read == Read::format_error) return ++counters_.format, plain(Code::format);
  if (read == Read::not_implemented) return plain(Code::not_implemented);
  if (q.edns && q.edns_version != 0) return plain(Code::bad_version);
  const bool ours = q.name.ends_with(origin_) && (q.rr_class == kIn || q.rr_class == kAnyClass);
  // A suffix must begin at a label: "xorigin" is not below "origin".
  const std::size_t below = ours ? q.name.size() - origin_.size() : 0;
  std::size_t edge = 0;
  while (edge < below) edge += 1U + static_cast<unsigned char>(q.name[edge]);
  if (!ours || edge != below || q.type == Type::AXFR || q.type == Type::IXFR)
    return ++counters_.refused, plain(Code::refused);

  // Whose clients these are: by the client's subnet where a trusted resolver tells it, else by who asks.
  Address source = from;
  if (q.subnet && q.subnet->source.length > 0 && groups_->trusts(from)) {
    source = q.subnet->source.address;
    reply.scope = q.subnet->source.length;  // the answer holds for that subnet, as far as we were told
  }
  const ProxyId group = groups_->group_of(source);
  const auto found = names_.find(q.name.substr(0, below));
  reply.code = found == names_.end() ? Code::no_name : Code::no_error;
  begin_answer(w, in, q, reply.code, true);
  const auto apex = static_cast<std::uint16_t>(0xc000U | (kHeader + below));
  if (found == names_.end()) {
    ++counters_.no_name;
    reply.negative = true;
  } else if (q.type == Type::ANY) {
    // RFC 8482, section 4.2: one small record in place of everything.
    w.u16(kOwner), w.u16(static_cast<std::uint16_t>(Type::HINFO)), w.u16(kIn), w.u32(s_.negative_ttl);
    w.u16(9), w.u8(7), w.text("RFC8482"), w.u8(0);
    reply.counts.answer = 1;
  } else {
    const Entry& entry = found->second;
    switch (entry.what) {
      case What::apex:
        if (q.type == Type::SOA) {
          soa(w, kOwner, s_.negative_ttl);
          reply.counts.answer = 1;
        } else if (q.type == Type::NS) {
          for (const auto& ns : nameservers_) {
            w.u16(kOwner), w.u16(static_cast<std::uint16_t>(Type::NS)), w.u16(kIn), w.u32(60);
            w.u16(static_cast<std::uint16_t>(ns.size())), w.text(ns);
            ++reply.counts.answer;
          }
        } else {
          reply.negative = true;
        }
        break;
      case What::nameserver:
        if (q.type == (s_.address.v6 ? Type::AAAA : Type::A)) {
          addresses(w, q, {{s_.address, 0}}, 60, reply);
        } else {
          reply.negative = true;
        }
        break;
      case What::empty:
        reply.negative = true;
        break;
      case What::service:
      case What::srv: {
        result.looked_up = group;
        Ready& ready = *ready_[group.value][entry.operation];
        entry.what == What::srv ? answer_srv(w, q, ready, reply) : answer_service(w, q, ready, reply);
        break;
      }
      case What::worker: {
        const auto& known = published_->directory->at(entry.worker);
        // The address of one that is to get nothing new is taken back: a client that kept its name past an
        // answer's lifetime, but looks the address up, is stopped here.
        std::vector<Endpoint> at;
        if (known.accepts_new_work && q.type == (known.at.address.v6 ? Type::AAAA : Type::A))
          at.push_back(known.at);
        addresses(w, q, at, static_cast<std::uint32_t>(published_->lifetime.seconds()), reply);
        break;
      }
    }
  }
  if (reply.negative) {
    soa(w, apex, s_.negative_ttl);
    reply.counts.authority = 1;
  }
  if (reply.truncated) ++counters_.truncated;
  return done();
}

}  // namespace gorsemount::dns

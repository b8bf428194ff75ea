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

constexpr std::uint16_t kQuestionNamePointer = 0xc00c;  // compression pointer to the name in the question
constexpr double kMaxWeight = 10000;  // of the heaviest line; leaves room for a weight of 1/10000 of it
constexpr std::uint16_t kFirstTierPriority = 10;
constexpr int kTierCount = 3;  // own zone, near zones, far zones

void append_u16(std::string& out, std::uint16_t v) {
  out.push_back(static_cast<char>(v >> 8U)), out.push_back(static_cast<char>(v));
}
void append_u32(std::string& out, std::uint32_t v) {
  append_u16(out, static_cast<std::uint16_t>(v >> 16U)), append_u16(out, static_cast<std::uint16_t>(v));
}
void write_record_header(std::string& out, std::uint16_t owner, Type type, std::uint32_t ttl,
                         std::size_t size) {
  append_u16(out, owner), append_u16(out, static_cast<std::uint16_t>(type)), append_u16(out, kClassIn),
      append_u32(out, ttl);
  append_u16(out, static_cast<std::uint16_t>(size));
}
std::string_view address_bytes(const Address& a) {
  return {reinterpret_cast<const char*>(a.bytes.data()), a.v6 ? 16U : 4U};
}

std::string to_label(std::string_view text) {
  std::string out(1, static_cast<char>(text.size()));
  for (const char c : text) out.push_back(static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c));
  return out;
}

}  // namespace

struct Responder::Reply {
  SectionCounts counts;
  ResponseCode code = ResponseCode::no_error;
  bool truncated = false;
  bool negative = false;  // add the SOA record, whose TTL bounds negative caching (RFC 2308)
  unsigned scope = 0;
  std::size_t limit = 0;  // bytes, without the OPT record
};

Responder::Responder(ResponderSettings settings, std::shared_ptr<const coordinator::GroupMap> groups)
    : settings_{std::move(settings)},
      origin_{to_wire(settings_.origin)},
      hostmaster_{to_wire(settings_.hostmaster)},
      workers_origin_{to_label("w") + origin_},
      groups_{std::move(groups)} {
  for (const auto& name : settings_.nameservers) nameservers_.push_back(to_wire(name));
}

void Responder::rebuild_names() {
  names_.clear();
  names_[""] = {NameKind::apex, 0, {}};
  names_[to_label("w")] = names_[to_label("_tcp")] = {NameKind::empty, 0, {}};
  for (const auto& ns : nameservers_)
    if (ns.size() > origin_.size() && ns.ends_with(origin_)) {
      std::string relative = ns.substr(0, ns.size() - origin_.size());
      // Empty non-terminals above the name exist too, without records (RFC 8020).
      for (std::size_t at = 1U + static_cast<unsigned char>(relative[0]); at < relative.size();
           at += 1U + static_cast<unsigned char>(relative[at]))
        names_.try_emplace(relative.substr(at), NameEntry{NameKind::empty, 0, {}});
      names_[relative] = {NameKind::nameserver, 0, {}};
    }
  for (std::size_t index = 0; index < settings_.operations.size(); ++index) {
    names_[to_label(settings_.operations[index])] = {NameKind::service, index, {}};
    names_[to_label("_" + settings_.operations[index]) + to_label("_tcp")] = {NameKind::srv, index, {}};
  }
  for (const auto& [id, worker] : *published_->directory)
    names_[to_label(worker.name) + to_label("w")] = {NameKind::worker, 0, id};
}

// Encodes the sampled lines as SRV records, and their addresses as glue. `base` is the offset of the answer
// section in the message; glue records point at the target names with it. Targets themselves are not
// compressed (RFC 2782).
void Responder::write_srv_records(std::string& out, std::string& glue, std::size_t base,
                                  const std::vector<SampledLine>& sampled,
                                  const PreparedView& prepared) const {
  // Weights are relative to the records of the same priority (RFC 2782).
  std::array<double, kTierCount> tier_max_weight{};
  const auto tier_of = [&](const SampledLine& line) {
    return static_cast<std::size_t>(std::clamp(prepared.view->lines[line.index].tier, 0, kTierCount - 1));
  };
  for (const auto& line : sampled)
    tier_max_weight[tier_of(line)] = std::max(tier_max_weight[tier_of(line)], line.weight);
  for (const auto& line : sampled) {
    const std::size_t tier = tier_of(line);
    const std::string& target = prepared.targets[line.index];
    const Endpoint& endpoint = prepared.endpoints[line.index];
    write_record_header(out, kQuestionNamePointer, Type::SRV, prepared.ttl, 6 + target.size());
    // At least 1: clients hardly ever select a record of weight 0 (RFC 2782).
    const double weight = std::max(1.0, std::round(line.weight / tier_max_weight[tier] * kMaxWeight));
    append_u16(out, static_cast<std::uint16_t>(kFirstTierPriority + tier)),
        append_u16(out, static_cast<std::uint16_t>(weight)), append_u16(out, endpoint.port);
    const std::size_t target_offset = base + out.size();
    out += target;
    if (target_offset < 0x4000) {
      write_record_header(glue, static_cast<std::uint16_t>(0xc000U | target_offset),
                          endpoint.address.v6 ? Type::AAAA : Type::A, prepared.ttl,
                          endpoint.address.v6 ? 16 : 4);
      glue += address_bytes(endpoint.address);
    }
  }
}

std::shared_ptr<Responder::PreparedView> Responder::prepare_view(
    std::shared_ptr<const RoutingView> view) const {
  auto prepared = std::make_shared<PreparedView>();
  prepared->view = std::move(view);
  prepared->ttl = static_cast<std::uint32_t>(published_->lifetime.seconds());
  prepared->directory = published_->directory.get();
  std::vector<SampledLine> all;
  for (std::size_t index = 0; index < prepared->view->lines.size(); ++index) {
    const auto& line = prepared->view->lines[index];
    const auto& worker = published_->directory->at(line.backend);
    prepared->targets.push_back(to_label(worker.name) + workers_origin_),
        prepared->endpoints.push_back(worker.at);
    (worker.at.address.v6 ? prepared->v6 : prepared->v4).push_back(index);
    (worker.at.address.v6 ? prepared->lines_v6 : prepared->lines_v4).push_back(line);
    all.push_back({index, line.weight});
  }
  if (all.size() <= settings_.max_srv_records) {
    const std::size_t base = kHeaderBytes +
                             to_label("_" + settings_.operations[prepared->view->operation.value]).size() +
                             to_label("_tcp").size() + origin_.size() + 4;
    write_srv_records(prepared->srv, prepared->glue, base, all, *prepared);
    prepared->lines = static_cast<std::uint16_t>(all.size());
  }
  return prepared;
}

void Responder::publish(std::shared_ptr<const PublishedState> published,
                        std::shared_ptr<const coordinator::GroupMap> groups) {
  const bool directory_changed = !published_ || published_->directory != published->directory;
  published_ = std::move(published);
  groups_ = std::move(groups);
  if (directory_changed) rebuild_names();
  std::map<std::uint64_t, std::shared_ptr<PreparedView>> previous_views;
  for (const auto& row : prepared_)
    for (const auto& prepared : row) previous_views.emplace(prepared->view->version, prepared);
  const auto ttl = static_cast<std::uint32_t>(published_->lifetime.seconds());
  std::vector<std::vector<std::shared_ptr<PreparedView>>> next(published_->views.size());
  for (std::size_t group_index = 0; group_index < next.size(); ++group_index) {
    for (const auto& view : published_->views[group_index]) {
      auto& prepared = previous_views[view->version];
      if (!prepared || prepared->ttl != ttl || prepared->directory != published_->directory.get()) {
        const auto previous = prepared;
        prepared = prepare_view(view);
        if (previous) prepared->phase = previous->phase, prepared->admission = previous->admission;
      }
      // A new view continues the sampling sequence and the admission state of the group's previous view.
      const std::size_t operation = view->operation.value;
      if (group_index < prepared_.size() && operation < prepared_[group_index].size() &&
          prepared_[group_index][operation] != prepared && prepared->phase.unused())
        prepared->phase = prepared_[group_index][operation]->phase,
        prepared->admission = prepared_[group_index][operation]->admission;
      next[group_index].push_back(prepared);
    }
  }
  prepared_ = std::move(next);
}

void Responder::write_soa(Writer& writer, std::uint16_t owner, std::uint32_t ttl) const {
  const Name& mname = nameservers_.front();
  writer.u16(owner), writer.u16(static_cast<std::uint16_t>(Type::SOA)), writer.u16(kClassIn), writer.u32(ttl);
  writer.u16(static_cast<std::uint16_t>(mname.size() + hostmaster_.size() + 20));
  writer.text(mname), writer.text(hostmaster_);
  writer.u32(static_cast<std::uint32_t>(published_->version));
  // Refresh, retry and expire concern secondary servers only, and this zone has none.
  writer.u32(60), writer.u32(10), writer.u32(300), writer.u32(settings_.negative_ttl);
}

void Responder::write_addresses(Writer& writer, const Query& query, const std::vector<Endpoint>& endpoints,
                                std::uint32_t ttl, Reply& reply) const {
  for (const auto& endpoint : endpoints) {
    const std::string_view bytes = address_bytes(endpoint.address);
    writer.u16(kQuestionNamePointer), writer.u16(static_cast<std::uint16_t>(query.type)),
        writer.u16(kClassIn), writer.u32(ttl);
    writer.u16(static_cast<std::uint16_t>(bytes.size())), writer.text(bytes);
    ++reply.counts.answer;
  }
  if (endpoints.empty()) reply.negative = true;
}

// Answers for an operation's own name: A and AAAA records sampled by weight, and a TXT record with the
// admission level and the allowed tries, for clients that apply these themselves.
void Responder::answer_service(Writer& writer, const Query& query, PreparedView& prepared, Reply& reply) {
  const auto& level = prepared.view->level;
  if (query.type == Type::A || query.type == Type::AAAA) {
    const bool v6 = query.type == Type::AAAA;
    const auto& line_indices = v6 ? prepared.v6 : prepared.v4;
    if (!line_indices.empty() && !prepared.admission.admit(level.level)) {
      ++counters_.rate_limited;
      reply.negative = true;
      return;
    }
    std::vector<Endpoint> endpoints;
    for (const auto index : coordinator::sample_uniform(v6 ? prepared.lines_v6 : prepared.lines_v4,
                                                        settings_.max_addresses, prepared.phase.next()))
      endpoints.push_back(prepared.endpoints[line_indices[index]]);
    write_addresses(writer, query, endpoints, prepared.ttl, reply);
  } else if (query.type == Type::TXT) {
    const std::string text =
        fmt::format("level={:.3f} tries={}", std::min(1.0, level.level), static_cast<int>(level.tries));
    writer.u16(kQuestionNamePointer), writer.u16(static_cast<std::uint16_t>(Type::TXT)), writer.u16(kClassIn),
        writer.u32(prepared.ttl);
    writer.u16(static_cast<std::uint16_t>(text.size() + 1)),
        writer.u8(static_cast<std::uint8_t>(text.size())), writer.text(text);
    reply.counts.answer = 1;
  } else {
    reply.negative = true;
  }
}

void Responder::answer_srv(Writer& writer, const Query& query, PreparedView& prepared, Reply& reply) {
  if (query.type != Type::SRV || prepared.targets.empty()) {
    reply.negative = true;
    return;
  }
  if (!prepared.admission.admit(prepared.view->level.level)) {
    // A target of "." says that the service is decidedly not available at this domain (RFC 2782). The TTL of
    // one second lets a rate-limited client ask again soon.
    ++counters_.rate_limited;
    writer.u16(kQuestionNamePointer), writer.u16(static_cast<std::uint16_t>(Type::SRV)), writer.u16(kClassIn),
        writer.u32(std::min(1U, prepared.ttl));
    writer.u16(7), writer.u16(0), writer.u16(0), writer.u16(0), writer.u8(0);
    reply.counts.answer = 1;
    return;
  }
  std::string srv, glue;
  const std::string* records = &prepared.srv;
  const std::string* additional_records = &prepared.glue;
  std::uint16_t lines = prepared.lines;
  if (lines == 0) {
    const auto sampled =
        coordinator::sample_tiered(prepared.view->lines, settings_.max_srv_records, prepared.phase.next());
    write_srv_records(srv, glue, writer.size(), sampled, prepared);
    records = &srv, additional_records = &glue, lines = static_cast<std::uint16_t>(sampled.size());
  }
  if (writer.size() + records->size() > reply.limit) {
    // Send no partial list: a client that used it as the complete set would overload the few workers in it
    // (RFC 2181, section 9).
    reply.truncated = true;
    return;
  }
  writer.text(*records);
  reply.counts.answer = lines;
  // The additional section is optional: if not all addresses fit, none is sent, and the answer is still
  // complete.
  if (writer.size() + additional_records->size() <= reply.limit) {
    writer.text(*additional_records);
    reply.counts.additional = lines;
  }
}

Responder::AnswerResult Responder::answer(std::span<const std::uint8_t> in, const Address& from, bool udp,
                                          std::span<std::uint8_t> out) {
  AnswerResult result;
  Query query;
  const ParseResult parsed = parse_query(in, query);
  if (parsed == ParseResult::drop || !published_) {
    ++counters_.dropped;
    return result;
  }
  ++counters_.answers;
  Writer writer{out};
  Reply reply;
  const std::size_t max_bytes = udp ? std::min<std::size_t>(query.udp_size, settings_.udp_size) : out.size();
  reply.limit = std::min(max_bytes, out.size()) - std::min(max_bytes, opt_record_bytes(query));
  const auto finish = [&] {
    finish_answer(writer, query, reply.code, reply.counts, reply.scope, settings_.udp_size, reply.truncated);
    result.size = writer.full() ? 0 : writer.size();
    return result;
  };
  const auto answer_without_records = [&](ResponseCode code) {
    reply.code = code;
    begin_answer(writer, in, query, code, false);
    return finish();
  };
  if (parsed == ParseResult::format_error)
    return ++counters_.format_errors, answer_without_records(ResponseCode::format_error);
  if (parsed == ParseResult::not_implemented) return answer_without_records(ResponseCode::not_implemented);
  if (query.edns && query.edns_version != 0) return answer_without_records(ResponseCode::bad_version);
  const bool in_zone =
      query.name.ends_with(origin_) && (query.rr_class == kClassIn || query.rr_class == kClassAny);
  // The suffix must begin at a label boundary: "xorigin" is not below "origin".
  const std::size_t relative_bytes = in_zone ? query.name.size() - origin_.size() : 0;
  std::size_t label_start = 0;
  while (label_start < relative_bytes)
    label_start += 1U + static_cast<unsigned char>(query.name[label_start]);
  if (!in_zone || label_start != relative_bytes || query.type == Type::AXFR || query.type == Type::IXFR)
    return ++counters_.refused, answer_without_records(ResponseCode::refused);

  // The client's group: by its subnet if a trusted resolver sends one, else by the resolver's address.
  Address source = from;
  if (query.subnet && query.subnet->source.length > 0 && groups_->trusts(from)) {
    source = query.subnet->source.address;
    reply.scope = query.subnet->source.length;  // the answer is valid for the whole subnet in the query
  }
  const ProxyId group = groups_->group_of(source);
  const auto found = names_.find(query.name.substr(0, relative_bytes));
  reply.code = found == names_.end() ? ResponseCode::name_error : ResponseCode::no_error;
  begin_answer(writer, in, query, reply.code, true);
  const auto apex = static_cast<std::uint16_t>(0xc000U | (kHeaderBytes + relative_bytes));
  if (found == names_.end()) {
    ++counters_.name_errors;
    reply.negative = true;
  } else if (query.type == Type::ANY) {
    // A single HINFO record instead of all records (RFC 8482, section 4.2).
    writer.u16(kQuestionNamePointer), writer.u16(static_cast<std::uint16_t>(Type::HINFO)),
        writer.u16(kClassIn), writer.u32(settings_.negative_ttl);
    writer.u16(9), writer.u8(7), writer.text("RFC8482"), writer.u8(0);
    reply.counts.answer = 1;
  } else {
    const NameEntry& entry = found->second;
    switch (entry.kind) {
      case NameKind::apex:
        if (query.type == Type::SOA) {
          write_soa(writer, kQuestionNamePointer, settings_.negative_ttl);
          reply.counts.answer = 1;
        } else if (query.type == Type::NS) {
          for (const auto& ns : nameservers_) {
            writer.u16(kQuestionNamePointer), writer.u16(static_cast<std::uint16_t>(Type::NS)),
                writer.u16(kClassIn), writer.u32(60);
            writer.u16(static_cast<std::uint16_t>(ns.size())), writer.text(ns);
            ++reply.counts.answer;
          }
        } else {
          reply.negative = true;
        }
        break;
      case NameKind::nameserver:
        if (query.type == (settings_.address.v6 ? Type::AAAA : Type::A)) {
          write_addresses(writer, query, {{settings_.address, 0}}, 60, reply);
        } else {
          reply.negative = true;
        }
        break;
      case NameKind::empty:
        reply.negative = true;
        break;
      case NameKind::service:
      case NameKind::srv: {
        result.queried_group = group;
        PreparedView& prepared = *prepared_[group.value][entry.operation];
        entry.kind == NameKind::srv ? answer_srv(writer, query, prepared, reply)
                                    : answer_service(writer, query, prepared, reply);
        break;
      }
      case NameKind::worker: {
        const auto& worker = published_->directory->at(entry.worker);
        // A worker that accepts no new work has no address record. That stops clients that keep using its
        // name after the TTL of the SRV answer but resolve the address again.
        std::vector<Endpoint> endpoints;
        if (worker.accepts_new_work && query.type == (worker.at.address.v6 ? Type::AAAA : Type::A))
          endpoints.push_back(worker.at);
        write_addresses(writer, query, endpoints, static_cast<std::uint32_t>(published_->lifetime.seconds()),
                        reply);
        break;
      }
    }
  }
  if (reply.negative) {
    write_soa(writer, apex, settings_.negative_ttl);
    reply.counts.authority = 1;
  }
  if (reply.truncated) ++counters_.truncated;
  return finish();
}

}  // namespace gorsemount::dns

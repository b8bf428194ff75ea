// Authoritative DNS responder: answers queries from the published routing views. It takes no decisions
// itself; sampling and admission come from the coordinator. docs/dns.md lists the names served and the
// alternatives.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordinator/admission.hpp"
#include "coordinator/answer_sampling.hpp"
#include "coordinator/groups.hpp"
#include "coordinator/types.hpp"
#include "dns/message.hpp"

namespace gorsemount::dns {

struct ResponderSettings {
  std::string origin, hostmaster;
  std::vector<std::string> nameservers;
  Address address;  // of this server, for name servers inside the zone
  std::uint32_t negative_ttl = 1;
  std::uint16_t udp_size = 1232;
  std::vector<std::string> operations;
  std::size_t max_srv_records = 16, max_addresses = 2;
};

struct ResponderCounters {
  std::uint64_t answers = 0, truncated = 0, refused = 0, format_errors = 0, name_errors = 0, rate_limited = 0,
                dropped = 0;
};

class Responder {
 public:
  Responder(ResponderSettings settings, std::shared_ptr<const coordinator::GroupMap> groups);

  // Switches to a new published state. Views that did not change keep their prepared answers.
  void publish(std::shared_ptr<const coordinator::PublishedState> published,
               std::shared_ptr<const coordinator::GroupMap> groups);

  struct AnswerResult {
    std::size_t size = 0;                  // 0: no response is sent
    std::optional<ProxyId> queried_group;  // group of the client that looked up an operation
  };
  // `out` bounds the size of the response; with `udp`, the size that the client advertises (EDNS) does too.
  [[nodiscard]] AnswerResult answer(std::span<const std::uint8_t> in, const Address& from, bool udp,
                                    std::span<std::uint8_t> out);
  [[nodiscard]] const ResponderCounters& counters() const { return counters_; }

 private:
  enum class NameKind { apex, nameserver, empty, service, srv, worker };
  struct NameEntry {
    NameKind kind = NameKind::empty;
    std::size_t operation = 0;
    BackendId worker;
  };
  // A view with its records encoded: the SRV target and endpoint of each line, and the complete SRV answer
  // where all lines fit into one.
  struct PreparedView {
    std::shared_ptr<const coordinator::RoutingView> view;
    std::uint32_t ttl = 0;
    const void* directory = nullptr;
    std::vector<std::string> targets;  // names in wire form, by line
    std::vector<Endpoint> endpoints;   // by line
    std::string srv, glue;             // encoded records of all lines
    std::uint16_t lines = 0;          // records in `srv`; 0: the lines do not all fit, so each answer samples
    std::vector<std::size_t> v4, v6;  // indices of the lines of each address family
    std::vector<coordinator::Line> lines_v4, lines_v6;
    coordinator::LowDiscrepancySequence phase;
    coordinator::Admission admission;
  };
  struct Reply;

  void rebuild_names();
  [[nodiscard]] std::shared_ptr<PreparedView> prepare_view(
      std::shared_ptr<const coordinator::RoutingView> view) const;
  void write_srv_records(std::string& out, std::string& glue, std::size_t base,
                         const std::vector<coordinator::SampledLine>& sampled,
                         const PreparedView& prepared) const;
  void write_soa(Writer& writer, std::uint16_t owner, std::uint32_t ttl) const;
  void answer_service(Writer& writer, const Query& query, PreparedView& prepared, Reply& reply);
  void answer_srv(Writer& writer, const Query& query, PreparedView& prepared, Reply& reply);
  void write_addresses(Writer& writer, const Query& query, const std::vector<Endpoint>& endpoints,
                       std::uint32_t ttl, Reply& reply) const;

  ResponderSettings settings_;
  Name origin_, hostmaster_, workers_origin_;
  std::vector<Name> nameservers_;
  std::shared_ptr<const coordinator::GroupMap> groups_;
  std::shared_ptr<const coordinator::PublishedState> published_;
  std::unordered_map<std::string, NameEntry> names_;                  // keyed by the labels before the origin
  std::vector<std::vector<std::shared_ptr<PreparedView>>> prepared_;  // by group, by operation
  ResponderCounters counters_;
};

}  // namespace gorsemount::dns

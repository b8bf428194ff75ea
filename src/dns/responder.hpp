// The DNS front: answers questions from the published views. It reads and never decides; draws and admission
// are the coordinator's. docs/dns.md lists the names served and the ways weighed.
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
  Address address;  // of this server, for name servers below the origin
  std::uint32_t negative_ttl = 1;
  std::uint16_t udp_size = 1232;
  std::vector<std::string> operations;
  std::size_t max_srv_records = 16, max_addresses = 2;
};

struct ResponderCounters {
  std::uint64_t answers = 0, truncated = 0, refused = 0, format = 0, no_name = 0, rate_limited = 0,
                dropped = 0;
};

class Responder {
 public:
  Responder(ResponderSettings settings, std::shared_ptr<const coordinator::GroupMap> groups);

  // The newest version; what it shares with the one before is not worked out again.
  void publish(std::shared_ptr<const coordinator::PublishedState> published,
               std::shared_ptr<const coordinator::GroupMap> groups);

  struct Answered {
    std::size_t size = 0;              // 0: nothing to send
    std::optional<ProxyId> looked_up;  // whose clients asked for an operation
  };
  // `most`: what the transport carries; `udp`: the asker's own limit holds too.
  [[nodiscard]] Answered answer(std::span<const std::uint8_t> in, const Address& from, bool udp,
                                std::span<std::uint8_t> out);
  [[nodiscard]] const ResponderCounters& counters() const { return counters_; }

 private:
  enum class What { apex, nameserver, empty, service, srv, worker };
  struct Entry {
    What what = What::empty;
    std::size_t operation = 0;
    BackendId worker;
  };
  // A view ready to be sent: for each line the SRV record's parts, and the whole answer where all lines fit.
  struct Ready {
    std::shared_ptr<const coordinator::RoutingView> view;
    std::uint32_t ttl = 0;
    const void* directory = nullptr;
    std::vector<std::string> targets;  // names in wire form, by line
    std::vector<Endpoint> at;          // by line
    std::string srv, glue;             // all lines
    std::uint16_t lines = 0;
    std::vector<std::size_t> v4, v6;  // places of the lines of each family
    std::vector<coordinator::Line> lines_v4, lines_v6;
    coordinator::LowDiscrepancySequence phase;
    coordinator::Admission admission;
  };
  struct Reply;

  void make_names();
  [[nodiscard]] std::shared_ptr<Ready> make_ready(std::shared_ptr<const coordinator::RoutingView> view) const;
  void write_srv(std::string& out, std::string& glue, std::size_t base,
                 const std::vector<coordinator::SampledLine>& drawn, const Ready& ready) const;
  void soa(Writer& w, std::uint16_t owner, std::uint32_t ttl) const;
  void answer_service(Writer& w, const Query& q, Ready& ready, Reply& reply);
  void answer_srv(Writer& w, const Query& q, Ready& ready, Reply& reply);
  void addresses(Writer& w, const Query& q, const std::vector<Endpoint>& at, std::uint32_t ttl,
                 Reply& reply) const;

  ResponderSettings s_;
  Name origin_, hostmaster_, workers_;
  std::vector<Name> nameservers_;
  std::shared_ptr<const coordinator::GroupMap> groups_;
  std::shared_ptr<const coordinator::PublishedState> published_;
  std::unordered_map<std::string, Entry> names_;            // by the labels before the origin
  std::vector<std::vector<std::shared_ptr<Ready>>> ready_;  // by group, by operation
  ResponderCounters counters_;
};

}  // namespace gorsemount::dns

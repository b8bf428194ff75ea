// The validated settings of `gorsemount serve`, described in docs/operating.md.
#pragma once

#include <string>
#include <vector>

#include "config/reader.hpp"
#include "coordinator/types.hpp"
#include "core/address.hpp"

namespace gorsemount::config {

struct DnsSettings {
  std::string origin;                    // lower case, without the trailing dot
  std::vector<std::string> nameservers;  // inside or outside the origin
  std::string hostmaster;
  Span negative_for;
  int max_udp_size = 0;  // bytes of a UDP response (RFC 6891, section 6.2.3)
};

struct RuntimeSettings {
  struct Socket {
    Endpoint at;
    std::string path;  // UNIX socket path, used instead of `at` if set
  };
  std::vector<Socket> forwarders;  // runtime sockets, in the same order as core.forwarders
  Span read_back_every, answer_within, redial_after;
  std::string socket;  // the operators' UNIX socket; empty if there is none
  unsigned socket_mode = 0;
  std::optional<Endpoint> tcp;  // the operators' TCP socket, authenticated by a token
  std::string token_file;
};

// The members of a shared fleet; empty if the coordinator runs alone.
struct ClusterSettings {
  std::string member;  // this coordinator's own name
  std::vector<std::pair<std::string, Endpoint>> members;
  std::string key_file;
  int shards = 0;
  Span lease;
  double drift = 0;
};

struct ServeSettings {
  std::string name;
  std::string zone_name;
  std::string text;  // the source text
  coordinator::Settings core;
  DnsSettings dns;
  RuntimeSettings runtime;
  ClusterSettings cluster;
  Endpoint listen;
  int tcp_most = 0;  // concurrent TCP connections
  Span tcp_idle;     // RFC 7766, section 6.2.3
  std::string roster_file;
  Span roster_check_interval;
  std::string health_path, load_path;
  Span health_every, health_again, health_timeout, load_every, load_timeout;
  std::string log_level, log_file, records_file;
  std::string store_folder, store_key_file;  // empty: no state is kept across restarts
  std::string recording_file;                // empty: nothing is recorded
  std::uint64_t recording_size_limit = 0;    // bytes before compression; the file is rotated at this size
};

// Parses and validates the text of a settings file. Faults and effective values go to `findings`; the result
// is valid only if there are no faults.
[[nodiscard]] ServeSettings read_settings(const std::string& text, const std::string& file,
                                          Findings& findings);

// The settings that a reload can't change, as a text to compare before and after.
[[nodiscard]] std::string non_reloadable_settings(const ServeSettings& settings);

struct RosterRead {
  std::vector<coordinator::RosterEntry> entries;
  std::vector<hcl::Fault> faults;
};
// Parses a roster file: backend "name" { zone, address, weight, state, operations }. The entries must not be
// used if there are faults.
[[nodiscard]] RosterRead read_roster(const std::string& text, const std::string& file,
                                     const coordinator::Settings& core);

// Returns the content of a file, or appends a fault if it can't be read.
[[nodiscard]] std::string read_file(const std::string& file, std::vector<hcl::Fault>& faults);

}  // namespace gorsemount::config

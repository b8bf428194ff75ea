// The checked settings of `gorsemount serve`. docs/operating.md describes each.
#pragma once

#include <string>
#include <vector>

#include "config/reader.hpp"
#include "coordinator/types.hpp"
#include "core/address.hpp"

namespace gorsemount::config {

struct DnsSettings {
  std::string origin;                    // lower case, without the last dot
  std::vector<std::string> nameservers;  // names below or outside the origin
  std::string hostmaster;
  Span negative_for;
  int max_udp_size = 0;  // bytes of an answer over UDP, at most (RFC 6891, section 6.2.3)
};

struct RuntimeSettings {
  struct Socket {
    Endpoint at;
    std::string path;  // of a UNIX socket, in place of `at`
  };
  std::vector<Socket> forwarders;  // runtime sockets, in the order of core.forwarders
  Span read_back_every, answer_within, redial_after;
  std::string socket;  // the operators' UNIX socket; empty: none
  unsigned socket_mode = 0;
  std::optional<Endpoint> tcp;  // and on TCP, with the token of a file
  std::string token_file;
};

// A shared fleet; without members a coordinator stands alone.
struct ClusterSettings {
  std::string member;  // which of them this is
  std::vector<std::pair<std::string, Endpoint>> members;
  std::string key_file;
  int shards = 0;
  Span lease;
  double drift = 0;
};

struct ServeSettings {
  std::string name;
  std::string zone_name;
  std::string text;  // as it was read
  coordinator::Settings core;
  DnsSettings dns;
  RuntimeSettings runtime;
  ClusterSettings cluster;
  Endpoint listen;
  int tcp_most = 0;  // TCP connections at one time
  Span tcp_idle;     // RFC 7766, section 6.2.3
  std::string roster_file;
  Span roster_check_interval;
  std::string health_path, load_path;
  Span health_every, health_again, health_timeout, load_every, load_timeout;
  std::string log_level, log_file, records_file;
  std::string store_folder, store_key_file;  // empty: nothing outlasts the process
  std::string recording_file;                // for replays; empty: none
  std::uint64_t recording_size_limit = 0;    // bytes before compression, then a new file begins
};

// Reads and checks a file's text. Faults and the values in force go to `findings`; the settings are only of
// use if it holds no fault.
[[nodiscard]] ServeSettings read_settings(const std::string& text, const std::string& file,
                                          Findings& findings);

// What a running coordinator can't change: a text that differs if any of it does.
[[nodiscard]] std::string non_reloadable_settings(const ServeSettings& settings);

struct RosterRead {
  std::vector<coordinator::RosterEntry> entries;
  std::vector<hcl::Fault> faults;
};
// A roster file: backend "name" { zone, address, weight, state, operations }. With a fault the list is not to
// be used.
[[nodiscard]] RosterRead read_roster(const std::string& text, const std::string& file,
                                     const coordinator::Settings& core);

// The file's text; a fault in `faults` if it can't be read.
[[nodiscard]] std::string read_file(const std::string& file, std::vector<hcl::Fault>& faults);

}  // namespace gorsemount::config

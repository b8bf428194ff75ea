#include "standins/resolver.hpp"

#include <ldns/ldns.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <map>

namespace gorsemount::standins {

namespace {

struct PacketDeleter {
  void operator()(ldns_pkt* p) const { ldns_pkt_free(p); }
};
using Packet = std::unique_ptr<ldns_pkt, PacketDeleter>;

std::string encode_query(const std::string& name, bool srv, std::uint16_t id) {
  ldns_rdf* owner = ldns_dname_new_frm_str(name.c_str());
  if (owner == nullptr) return {};
  const Packet packet{
      ldns_pkt_query_new(owner, srv ? LDNS_RR_TYPE_SRV : LDNS_RR_TYPE_A, LDNS_RR_CLASS_IN, LDNS_RD)};
  ldns_pkt_set_id(packet.get(), id);
  ldns_pkt_set_edns_udp_size(packet.get(), 1232);
  std::uint8_t* wire = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&wire, packet.get(), &size) != LDNS_STATUS_OK) return {};
  std::string out{reinterpret_cast<const char*>(wire), size};
  std::free(wire);
  return out;
}

Address address_of(const ldns_rdf* rdf) {
  Address a;
  std::memcpy(a.bytes.data(), ldns_rdf_data(rdf), std::min<std::size_t>(16, ldns_rdf_size(rdf)));
  return a;
}

std::string name_of(const ldns_rdf* rdf) {
  char* text = ldns_rdf2str(rdf);
  std::string out{text};
  std::free(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

Answer decode_answer(const ldns_pkt* packet, bool srv, std::uint16_t port) {
  Answer answer;
  const auto code = ldns_pkt_get_rcode(packet);
  answer.answered = code == LDNS_RCODE_NOERROR || code == LDNS_RCODE_NXDOMAIN;
  const ldns_rr_list* records = ldns_pkt_answer(packet);
  std::map<std::string, Address> additional_addresses;
  const ldns_rr_list* additional = ldns_pkt_additional(packet);
  for (std::size_t k = 0; k < ldns_rr_list_rr_count(additional); ++k) {
    const ldns_rr* rr = ldns_rr_list_rr(additional, k);
    if (ldns_rr_get_type(rr) == LDNS_RR_TYPE_A)
      additional_addresses[name_of(ldns_rr_owner(rr))] = address_of(ldns_rr_rdf(rr, 0));
  }
  std::uint32_t ttl = 3600;
  for (std::size_t k = 0; k < ldns_rr_list_rr_count(records); ++k) {
    const ldns_rr* rr = ldns_rr_list_rr(records, k);
    ttl = std::min(ttl, ldns_rr_ttl(rr));
    if (srv && ldns_rr_get_type(rr) == LDNS_RR_TYPE_SRV) {
      const std::string target = name_of(ldns_rr_rdf(rr, 3));
      if (target == ".") {
        answer.rate_limited = true;
        continue;
      }
      const auto it = additional_addresses.find(target);
      if (it == additional_addresses.end()) continue;  // addresses are taken only from the additional section
      Target t;
      t.priority = ldns_rdf2native_int16(ldns_rr_rdf(rr, 0)),
      t.weight = ldns_rdf2native_int16(ldns_rr_rdf(rr, 1));
      t.at = {it->second, ldns_rdf2native_int16(ldns_rr_rdf(rr, 2))};
      answer.targets.push_back(t);
    } else if (!srv && ldns_rr_get_type(rr) == LDNS_RR_TYPE_A) {
      answer.targets.push_back({{address_of(ldns_rr_rdf(rr, 0)), port}, 1, 0});
    }
  }
  answer.ttl = Span::seconds(answer.targets.empty() ? 1 : ttl);
  return answer;
}

}  // namespace

Resolver::Resolver(net::Loop& loop, const Address& from, std::vector<Endpoint> servers, Span timeout,
                   std::uint16_t port)
    : loop_{loop},
      from_{from},
      servers_{std::move(servers)},
      server_timeout_{timeout},
      port_{port},
      fd_{net::udp_socket({from, 0})} {
  loop_.watch(fd_.get(), EPOLLIN, [this](std::uint32_t) { on_readable(); });
}

Resolver::~Resolver() {
  loop_.cancel(timer_);
  loop_.unwatch(fd_.get());
  if (tcp_) tcp_->abort();
}

void Resolver::query(const std::string& name, bool srv, Callback callback) {
  name_ = name, srv_ = srv, callback_ = std::move(callback), servers_tried_ = 0;
  send();
}

void Resolver::send() {
  // Starts with the server that answered last, so that an unresponsive one costs its timeout only once.
  const Endpoint& to = servers_[(first_server_ + servers_tried_) % servers_.size()];
  sockaddr_in a{};
  a.sin_family = AF_INET, a.sin_port = htons(to.port);
  std::memcpy(&a.sin_addr, to.address.bytes.data(), 4);
  const std::string bytes = encode_query(name_, srv_, ++query_id_);
  ::sendto(fd_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a), sizeof a);
  timer_ = loop_.after(server_timeout_, [this] {
    timer_ = {};
    tcp_connect_.reset();
    if (tcp_) std::exchange(tcp_, {})->abort();
    if (++servers_tried_ < servers_.size()) return send();
    finish({});
  });
}

void Resolver::on_readable() {
  std::uint8_t data[4096];
  for (ssize_t n = 0;
       (n = ::recv(fd_.get(), data, sizeof data, 0)) >= 0 || errno == ECONNREFUSED || errno == EINTR;)
    if (n > 0) handle_packet(data, static_cast<std::size_t>(n));
}

bool Resolver::handle_packet(const std::uint8_t* data, std::size_t size) {
  ldns_pkt* raw = nullptr;
  if (ldns_wire2pkt(&raw, data, size) != LDNS_STATUS_OK) return false;
  const Packet packet{raw};
  if (!callback_ || ldns_pkt_id(raw) != query_id_) return false;  // late answer to an earlier query
  if (ldns_pkt_tc(raw) && !tcp_) {
    retry_over_tcp();
    return true;
  }
  Answer answer = decode_answer(raw, srv_, port_);
  if (!answer.answered) return true;  // refused or failed: the timeout moves on to the next server
  first_server_ = (first_server_ + servers_tried_) % servers_.size();
  finish(std::move(answer));
  return true;
}

void Resolver::retry_over_tcp() {
  tcp_connect_ = net::connect(
      loop_, servers_[(first_server_ + servers_tried_) % servers_.size()], from_, [this](net::Fd fd, int) {
        tcp_connect_.reset();
        if (!fd) return;
        tcp_ = net::Connection::make(
            loop_, std::move(fd), {},
            [this](std::string_view in) -> std::size_t {
              if (in.size() < 2) return 0;
              const auto* bytes = reinterpret_cast<const std::uint8_t*>(in.data());
              const std::size_t size = static_cast<std::size_t>(bytes[0]) << 8U | bytes[1];
              if (in.size() < 2 + size) return 0;
              handle_packet(bytes + 2, size);
              return 2 + size;
            },
            [](const char*) {});
        const std::string bytes = encode_query(name_, srv_, query_id_);
        tcp_->send(std::string{static_cast<char>(bytes.size() >> 8U), static_cast<char>(bytes.size())} +
                   bytes);
      });
}

void Resolver::finish(Answer answer) {
  loop_.cancel(timer_);
  if (tcp_) std::exchange(tcp_, {})->abort();
  if (callback_) std::exchange(callback_, {})(std::move(answer));
}

}  // namespace gorsemount::standins

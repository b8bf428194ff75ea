// The DNS front, judged by ldns: what it answers, what it refuses, and that no message makes it do else.
#include <gtest/gtest.h>
#include <ldns/ldns.h>

#include <memory>
#include <random>

#include "../coordinator/fixture.hpp"
#include "dns/responder.hpp"

namespace gorsemount::dns {
namespace {

struct Free {
  void operator()(ldns_pkt* p) const { ldns_pkt_free(p); }
};
using Packet = std::unique_ptr<ldns_pkt, Free>;
using Bytes = std::vector<std::uint8_t>;

Bytes question(const std::string& name, ldns_rr_type type, std::uint16_t edns = 1232) {
  const Packet p{ldns_pkt_query_new(ldns_dname_new_frm_str(name.c_str()), type, LDNS_RR_CLASS_IN, LDNS_RD)};
  ldns_pkt_set_id(p.get(), 77);
  if (edns > 0) ldns_pkt_set_edns_udp_size(p.get(), edns);
  std::uint8_t* wire = nullptr;
  std::size_t size = 0;
  ldns_pkt2wire(&wire, p.get(), &size);
  Bytes out{wire, wire + size};
  std::free(wire);
  return out;
}

struct Served : ::testing::Test {
  void start(unsigned n, std::size_t lines_most = 16) {
    rig = std::make_unique<coordinator::Rig>(n);
    ResponderSettings s{"refill.test",
                        "host.refill.test",
                        {"ns1.refill.test", "ns.else.test"},
                        *Address::parse("127.0.0.53"),
                        1,
                        1232,
                        {"read", "write"},
                        lines_most,
                        2};
    responder = std::make_unique<Responder>(s, rig->core.group_map());
    responder->publish(rig->published, rig->core.group_map());
  }
  void SetUp() override { start(6); }

  Packet ask(const Bytes& in, bool udp = true, const char* from = "127.1.0.9") {
    std::array<std::uint8_t, 65535> out;
    answered =
        responder->answer(in, *Address::parse(from), udp, udp ? std::span{out}.first(4096) : std::span{out});
    size = answered.size;
    raw.assign(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(size));
    ldns_pkt* p = nullptr;
    if (size > 0) {
      EXPECT_EQ(ldns_wire2pkt(&p, out.data(), size), LDNS_STATUS_OK);
    }
    return Packet{p};
  }
  Packet ask(const std::string& name, ldns_rr_type type, std::uint16_t edns = 1232) {
    return ask(question(name, type, edns));
  }
  static std::size_t count(const Packet& p) { return ldns_pkt_ancount(p.get()); }
  static ldns_rr_type first_authority(const Packet& p) {
    return ldns_rr_get_type(ldns_rr_list_rr(ldns_pkt_authority(p.get()), 0));
  }

  std::unique_ptr<coordinator::Rig> rig;
  std::unique_ptr<Responder> responder;
  Responder::Answered answered;
  std::size_t size = 0;
  Bytes raw;
};

TEST_F(Served, SrvListsEveryLineWithItsWeightPortAndAddress) {
  const auto p = ask("_READ._tcp.Refill.Test", LDNS_RR_TYPE_SRV);
  ASSERT_TRUE(p);
  EXPECT_EQ(ldns_pkt_get_rcode(p.get()), LDNS_RCODE_NOERROR);
  EXPECT_TRUE(ldns_pkt_aa(p.get()));
  EXPECT_FALSE(ldns_pkt_tc(p.get()));
  ASSERT_EQ(count(p), 6U);
  EXPECT_EQ(ldns_pkt_arcount(p.get()), 6U);  // ldns counts the OPT record apart
  const ldns_rr* rr = ldns_rr_list_rr(ldns_pkt_answer(p.get()), 2);
  EXPECT_EQ(ldns_rdf2native_int16(ldns_rr_rdf(rr, 1)), 10000);
  EXPECT_EQ(ldns_rdf2native_int16(ldns_rr_rdf(rr, 2)), 9000);
  EXPECT_EQ(ldns_rr_ttl(rr), 2U);
  char* target = ldns_rdf2str(ldns_rr_rdf(rr, 3));
  EXPECT_STREQ(target, "w2.w.refill.test.");
  std::free(target);
  char* owner = ldns_rdf2str(ldns_rr_owner(rr));
  EXPECT_STREQ(owner, "_READ._tcp.Refill.Test.") << "case as asked";
  std::free(owner);
  EXPECT_EQ(answered.looked_up, ProxyId{0});
}

TEST_F(Served, WeightsFollowTheViewAndASmallOneIsNever0) {
  rig->workers[0].down = true;
  rig->seconds(4);
  responder->publish(rig->published, rig->core.group_map());
  EXPECT_EQ(count(ask("_read._tcp.refill.test", LDNS_RR_TYPE_SRV)), 5U);
  rig->seconds(3);  // its trial: a hundredth of the traffic
  responder->publish(rig->published, rig->core.group_map());
  const auto p = ask("_read._tcp.refill.test", LDNS_RR_TYPE_SRV);
  for (std::size_t k = 0; k < count(p); ++k)
    EXPECT_GE(ldns_rdf2native_int16(ldns_rr_rdf(ldns_rr_list_rr(ldns_pkt_answer(p.get()), k), 1)), 1);
}

TEST_F(Served, AddressesAreDrawnEvenly) {
  std::map<std::string, int> seen;
  for (int n = 0; n < 300; ++n) {
    const auto p = ask("write.refill.test", LDNS_RR_TYPE_A);
    ASSERT_EQ(count(p), 2U);
    for (std::size_t k = 0; k < 2; ++k) {
      char* text = ldns_rdf2str(ldns_rr_rdf(ldns_rr_list_rr(ldns_pkt_answer(p.get()), k), 0));
      ++seen[text];
      std::free(text);
    }
  }
  ASSERT_EQ(seen.size(), 6U);
  for (const auto& [address, n] : seen) EXPECT_NEAR(n, 100, 4) << address;
}

TEST_F(Served, NegativeAnswersCarryTheSoa) {
  for (const auto& [name, type, code] : std::vector<std::tuple<const char*, ldns_rr_type, ldns_pkt_rcode>>{
           {"nobody.refill.test", LDNS_RR_TYPE_A, LDNS_RCODE_NXDOMAIN},
           {"a.read.refill.test", LDNS_RR_TYPE_A, LDNS_RCODE_NXDOMAIN},
           {"_tcp.refill.test", LDNS_RR_TYPE_SRV, LDNS_RCODE_NOERROR},
           {"w.refill.test", LDNS_RR_TYPE_A, LDNS_RCODE_NOERROR},
           {"read.refill.test", LDNS_RR_TYPE_AAAA, LDNS_RCODE_NOERROR},
           {"read.refill.test", LDNS_RR_TYPE_MX, LDNS_RCODE_NOERROR},
           {"refill.test", LDNS_RR_TYPE_A, LDNS_RCODE_NOERROR},
           {"_read._tcp.refill.test", LDNS_RR_TYPE_A, LDNS_RCODE_NOERROR}}) {
    const auto p = ask(name, type);
    EXPECT_EQ(ldns_pkt_get_rcode(p.get()), code) << name;
    EXPECT_EQ(count(p), 0U) << name;
    ASSERT_EQ(ldns_pkt_nscount(p.get()), 1U) << name;
    EXPECT_EQ(first_authority(p), LDNS_RR_TYPE_SOA);
  }
}

TEST_F(Served, ApexNameServersAndWorkersHaveTheirRecords) {
  EXPECT_EQ(count(ask("refill.test", LDNS_RR_TYPE_SOA)), 1U);
  EXPECT_EQ(count(ask("refill.test", LDNS_RR_TYPE_NS)), 2U);
  EXPECT_EQ(count(ask("ns1.refill.test", LDNS_RR_TYPE_A)), 1U);
  EXPECT_EQ(count(ask("w3.w.refill.test", LDNS_RR_TYPE_A)), 1U);
  EXPECT_EQ(count(ask("read.refill.test", LDNS_RR_TYPE_TXT)), 1U);
  EXPECT_EQ(count(ask("read.refill.test", LDNS_RR_TYPE_ANY)), 1U);
}

TEST_F(Served, ADrainingWorkersAddressIsTakenBack) {
  auto roster = rig->roster;
  roster[3].availability = Availability::draining;
  rig->step({coordinator::RosterUpdate{roster}});
  responder->publish(rig->published, rig->core.group_map());
  EXPECT_EQ(count(ask("w3.w.refill.test", LDNS_RR_TYPE_A)), 0U);
  EXPECT_EQ(count(ask("_read._tcp.refill.test", LDNS_RR_TYPE_SRV)), 5U);
}

TEST_F(Served, OutsideItsZonesItRefuses) {
  for (const char* name : {"test", "xrefill.test", "example.org", "."})
    EXPECT_EQ(ldns_pkt_get_rcode(ask(name, LDNS_RR_TYPE_A).get()), LDNS_RCODE_REFUSED) << name;
  EXPECT_EQ(ldns_pkt_get_rcode(ask("refill.test", LDNS_RR_TYPE_AXFR).get()), LDNS_RCODE_REFUSED);
  auto chaos = question("read.refill.test", LDNS_RR_TYPE_A, 0);
  chaos[chaos.size() - 1] = 3;
  EXPECT_EQ(ldns_pkt_get_rcode(ask(chaos).get()), LDNS_RCODE_REFUSED);
}

TEST_F(Served, WhatDoesNotFitIsTruncatedAndWholeOverTcp) {
  start(16);
  auto p = ask("_read._tcp.refill.test", LDNS_RR_TYPE_SRV, 0);
  EXPECT_TRUE(ldns_pkt_tc(p.get()));
  EXPECT_EQ(count(p), 0U) << "no half of a list";
  EXPECT_LE(size, 512U);
  p = ask("_read._tcp.refill.test", LDNS_RR_TYPE_SRV, 4096);
  EXPECT_EQ(count(p), 16U);
  EXPECT_LE(size, 1232U);
  p = ask(question("_read._tcp.refill.test", LDNS_RR_TYPE_SRV, 0), false);
  EXPECT_FALSE(ldns_pkt_tc(p.get()));
  EXPECT_EQ(count(p), 16U);
}

TEST_F(Served, ALargeFleetIsDrawnFromAndEveryLineHasItsTurn) {
  start(90);
  std::map<std::string, int> seen;
  for (int n = 0; n < 200; ++n) {
    const auto p = ask("_read._tcp.refill.test", LDNS_RR_TYPE_SRV);
    ASSERT_EQ(count(p), 16U);
    EXPECT_FALSE(ldns_pkt_tc(p.get()));
    for (std::size_t k = 0; k < 16; ++k) {
      char* text = ldns_rdf2str(ldns_rr_rdf(ldns_rr_list_rr(ldns_pkt_answer(p.get()), k), 3));
      ++seen[text];
      std::free(text);
    }
  }
  EXPECT_EQ(seen.size(), 90U);
}

TEST_F(Served, ALevelTurnsItsShareOfLookupsAwayAtOnce) {
  auto published = std::make_shared<coordinator::PublishedState>(*rig->published);
  auto view = std::make_shared<coordinator::RoutingView>(*published->views[0][0]);
  view->version = 999, view->level.level = 0.25;
  published->views[0][0] = view;
  responder->publish(published, rig->core.group_map());
  int in = 0;
  for (int n = 0; n < 100; ++n) {
    const auto p = ask("_read._tcp.refill.test", LDNS_RR_TYPE_SRV);
    const ldns_rr* rr = ldns_rr_list_rr(ldns_pkt_answer(p.get()), 0);
    ASSERT_NE(rr, nullptr);
    const bool away = ldns_rdf_size(ldns_rr_rdf(rr, 3)) == 1;  // the root: not available (RFC 2782)
    in += away ? 0 : 1;
    if (away) {
      EXPECT_LE(ldns_rr_ttl(rr), 1U);
    }
  }
  EXPECT_NEAR(in, 25, 1);
  EXPECT_EQ(count(ask("_write._tcp.refill.test", LDNS_RR_TYPE_SRV)), 6U) << "another operation is untouched";
}

Bytes with_subnet(const std::string& name, std::array<std::uint8_t, 3> network, std::uint8_t bits,
                  std::uint8_t stray = 0) {
  auto in = question(name, LDNS_RR_TYPE_SRV, 0);
  in[11] = 1;
  const std::size_t n = (bits + 7U) / 8U;
  Bytes opt{0,
            0,
            41,
            4,
            208,
            0,
            0,
            0,
            0,
            0,
            static_cast<std::uint8_t>(8 + n),
            0,
            8,
            0,
            static_cast<std::uint8_t>(4 + n),
            0,
            1,
            bits,
            0};
  opt.insert(opt.end(), network.begin(), network.begin() + static_cast<std::ptrdiff_t>(n));
  if (stray != 0) opt.back() |= stray;
  in.insert(in.end(), opt.begin(), opt.end());
  return in;
}

// RFC 2782: a lower priority is tried first, and weights count among records of one priority.
TEST_F(Served, TiersArePrioritiesAndAddressesAreOfTheFirst) {
  start(60);
  auto published = std::make_shared<coordinator::PublishedState>(*rig->published);
  auto view = std::make_shared<coordinator::RoutingView>(*published->views[0][0]);
  view->version = 1'000'000;
  std::set<std::string> later;
  for (std::size_t k = 0; k < view->lines.size(); ++k) {
    view->lines[k].tier = k < 40 ? 0 : k < 50 ? 1 : 2;
    view->lines[k].weight = k < 40 ? 100 : 1;
    if (k >= 40) later.insert(published->directory->at(view->lines[k].backend).at.address.text());
  }
  published->views[0][0] = view;
  responder->publish(published, rig->core.group_map());
  std::set<std::string> met;
  for (int n = 0; n < 200; ++n) {
    const auto p = ask("_read._tcp.refill.test", LDNS_RR_TYPE_SRV);
    std::map<int, int> by_priority;
    for (std::size_t k = 0; k < count(p); ++k) {
      auto* rr = ldns_rr_list_rr(ldns_pkt_answer(p.get()), k);
      ++by_priority[ldns_rdf2native_int16(ldns_rr_rdf(rr, 0))];
      EXPECT_GE(ldns_rdf2native_int16(ldns_rr_rdf(rr, 1)), 10)
          << "a fallback's weight is not next to nothing";
    }
    ASSERT_EQ(by_priority, (std::map<int, int>{{10, 12}, {11, 2}, {12, 2}}));
    const auto a = ask("read.refill.test", LDNS_RR_TYPE_A);
    for (std::size_t k = 0; k < count(a); ++k) {
      char* text = ldns_rdf2str(ldns_rr_rdf(ldns_rr_list_rr(ldns_pkt_answer(a.get()), k), 0));
      EXPECT_FALSE(later.contains(text)) << text;
      met.insert(text);
      std::free(text);
    }
  }
  EXPECT_EQ(met.size(), 40U);
}

TEST_F(Served, AClientsSubnetIsBelievedFromTrustedResolversOnly) {
  const auto in = with_subnet("_read._tcp.refill.test", {127, 2, 0}, 24);
  ASSERT_TRUE(ask(in, true, "127.9.0.53"));
  EXPECT_EQ(answered.looked_up, ProxyId{1});
  EXPECT_EQ(raw[raw.size() - 4], 24) << "the scope says how far the answer holds";
  ASSERT_TRUE(ask(in, true, "127.1.0.5"));
  EXPECT_EQ(answered.looked_up, ProxyId{0});
  EXPECT_EQ(raw[raw.size() - 4], 0);
  EXPECT_EQ(ldns_pkt_get_rcode(ask(with_subnet("_read._tcp.refill.test", {127, 2, 0}, 20, 1)).get()),
            LDNS_RCODE_FORMERR)
      << "bits behind the length";
}

// Every malformed kind that docs/dns.md lists, with its answer.
TEST_F(Served, MalformedMessagesGetAClearAnswerOrNone) {
  const auto good = question("read.refill.test", LDNS_RR_TYPE_A);
  const auto code = [&](Bytes in) { return static_cast<int>(ldns_pkt_get_rcode(ask(in).get())); };
  const auto patched = [&](std::size_t at, std::uint8_t v) {
    auto in = good;
    in[at] = v;
    return in;
  };
  EXPECT_EQ(code(good), 0);
  EXPECT_FALSE(ask(Bytes(good.begin(), good.begin() + 11))) << "shorter than a header: dropped";
  EXPECT_FALSE(ask(patched(2, 0x81))) << "an answer: dropped";
  EXPECT_EQ(code(patched(2, 0x28)), 4) << "another opcode";
  EXPECT_EQ(code(patched(5, 0)), 1) << "no question";
  EXPECT_EQ(code(patched(5, 2)), 1) << "two questions";
  EXPECT_EQ(code(patched(7, 1)), 1) << "an answer counted that is not there";
  EXPECT_EQ(code(patched(12, 0xc0)), 1) << "a pointer in the question";
  EXPECT_EQ(code(patched(12, 0x40)), 1) << "a label of 64";
  EXPECT_EQ(code(Bytes(good.begin(), good.begin() + 20)), 1) << "cut off in the name";
  EXPECT_EQ(code(Bytes(good.begin(), good.end() - 3)), 1) << "cut off in the OPT record";
  auto longer = good;
  longer.push_back(0);
  EXPECT_EQ(code(longer), 1) << "bytes behind the end";
  auto two = good;
  two.insert(two.end(), good.end() - 11, good.end());
  two[11] = 2;
  EXPECT_EQ(code(two), 1) << "two OPT records";
  auto version = good;
  version[version.size() - 5] = 1;
  const auto p = ask(version);
  EXPECT_EQ(ldns_pkt_edns_extended_rcode(p.get()), 1) << "BADVERS";
  std::string name;
  for (int k = 0; k < 4; ++k) name += std::string(62, 'a') + ".";
  auto endless = question("read.refill.test", LDNS_RR_TYPE_A, 0);
  Bytes labels;
  for (int k = 0; k < 5; ++k) labels.push_back(63), labels.insert(labels.end(), 63, 'a');
  endless.insert(endless.begin() + 12, labels.begin(), labels.end());
  EXPECT_EQ(code(endless), 1) << "a name over 255 bytes";
}

TEST_F(Served, NoChangedByteMakesAnUnsoundAnswer) {
  std::mt19937 chance{5};
  const std::vector<Bytes> seeds{
      question("read.refill.test", LDNS_RR_TYPE_A), question("_read._tcp.refill.test", LDNS_RR_TYPE_SRV),
      with_subnet("_read._tcp.refill.test", {127, 2, 0}, 24), question("refill.test", LDNS_RR_TYPE_SOA, 0)};
  std::array<std::uint8_t, 4096> out;
  int answers = 0;
  for (int n = 0; n < 60000; ++n) {
    auto in = seeds[static_cast<std::size_t>(n) % seeds.size()];
    for (unsigned k = chance() % 4 + 1; k > 0; --k)
      in[chance() % in.size()] = static_cast<std::uint8_t>(chance());
    if (chance() % 3 == 0) in.resize(chance() % (in.size() + 1));
    const auto a = responder->answer(in, *Address::parse("127.1.0.1"), true, out);
    if (a.size == 0) continue;
    ++answers;
    ldns_pkt* p = nullptr;
    ASSERT_EQ(ldns_wire2pkt(&p, out.data(), a.size), LDNS_STATUS_OK);
    EXPECT_TRUE(ldns_pkt_qr(p));
    EXPECT_EQ(ldns_pkt_id(p), in[0] << 8U | in[1]);
    ldns_pkt_free(p);
  }
  EXPECT_GT(answers, 30000);
}

TEST(Names, GoToWireFormAndBack) {
  EXPECT_EQ(to_text(to_wire("A.b.example")), "a.b.example.");
  EXPECT_EQ(to_wire(""), std::string(1, '\0'));
  EXPECT_TRUE(to_wire("a..b").empty());
  EXPECT_TRUE(to_wire(std::string(64, 'a')).empty());
  std::string deep;
  for (int k = 0; k < 130; ++k) deep += "a.";
  EXPECT_TRUE(to_wire(deep).empty());
}

}  // namespace
}  // namespace gorsemount::dns

#include "deployment.h"

#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include "core/common/last_reason.h"

namespace lycheegap::benchmarks {

namespace {

using boost::property_tree::ptree;

std::vector<std::string> parse_list(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (stream >> part) {
        parts.push_back(part);
    }
    return parts;
}

deployment parse_deployment(const ptree& tree) {
    deployment it;
    it.name = tree.get<std::string>("deployment.name");
    it.failure_domains = parse_list(tree.get<std::string>("deployment.failure_domains"));
    it.hosts = tree.get<int>("deployment.hosts");
    it.endpoints = tree.get<int>("deployment.endpoints");
    it.slots = tree.get<int>("deployment.slots");
    it.service_ms = tree.get<int>("deployment.service_ms");
    it.domain_delay_ms = tree.get<int>("deployment.domain_delay_ms");
    it.region_delay_ms = tree.get<int>("deployment.region_delay_ms");
    it.teams = tree.get<int>("load.teams");
    it.rate = tree.get<double>("load.rate");
    it.burst = tree.get<double>("load.burst");
    it.surge = tree.get<double>("load.surge");
    it.inside_share = tree.get<double>("load.inside_share");
    it.seconds = tree.get<double>("load.seconds");
    return it;
}

} // namespace

std::optional<deployment> load_deployment(const std::string& file) {
    try {
        ptree tree;
        boost::property_tree::read_ini(file, tree);
        return parse_deployment(tree);
    } catch (const boost::property_tree::ptree_error& ec) {
        return common::fail(common::step::read_settings, file, ec.what());
    }
}

std::string region_of(const std::string& failure_domain) {
    return failure_domain.substr(0, failure_domain.rfind('-'));
}

} // namespace lycheegap::benchmarks

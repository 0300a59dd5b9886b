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
    deployment result;
    result.name = tree.get<std::string>("deployment.name");
    result.failure_domains = parse_list(tree.get<std::string>("deployment.failure_domains"));
    result.hosts = tree.get<int>("deployment.hosts");
    result.endpoints = tree.get<int>("deployment.endpoints");
    result.slots = tree.get<int>("deployment.slots");
    result.service_ms = tree.get<int>("deployment.service_ms");
    result.domain_delay_ms = tree.get<int>("deployment.domain_delay_ms");
    result.region_delay_ms = tree.get<int>("deployment.region_delay_ms");
    result.teams = tree.get<int>("load.teams");
    result.rate = tree.get<double>("load.rate");
    result.burst = tree.get<double>("load.burst");
    result.surge = tree.get<double>("load.surge");
    result.inside_share = tree.get<double>("load.inside_share");
    result.seconds = tree.get<double>("load.seconds");
    return result;
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

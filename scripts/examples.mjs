// Writes the settings files of the two example deployments under examples/.
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

const host = '127.0.0.1';

const deployments = [
  {
    name: 'qurm',
    region: 'muscat',
    failureDomains: ['rusayl-a', 'rusayl-b', 'seeb-c'],
    port: 21000,
    // This deployment prefers few control bytes to a short convergence time.
    batchWindow: 1000,
    services: [
      {name: 'stock-desk', instances: 7},
      {name: 'parts-files', instances: 3},
    ],
  },
  {
    name: 'agency',
    region: 'astana',
    failureDomains: ['hall-a', 'hall-b', 'hall-c'],
    port: 22000,
    // This deployment prefers a short convergence time.
    batchWindow: 20,
    services: [
      {name: 'crewbook', instances: 9},
      {name: 'drillvault', instances: 3},
    ],
  },
];

for (const deployment of deployments) writeDeployment(deployment);

function writeDeployment(deployment) {
  const folder = join('examples', deployment.name);
  mkdirSync(folder, {recursive: true});
  const members = deployment.failureDomains.map((failureDomain, index) =>
    describeMember(deployment, failureDomain, index),
  );
  for (const [index, member] of members.entries()) {
    write(folder, member.name, controlSettings(deployment, members, index));
  }
  let nodeIndex = 0;
  for (const service of deployment.services) {
    for (let number = 1; number <= service.instances; number++) {
      const settings = nodeSettings(
        deployment,
        members,
        service,
        number,
        nodeIndex,
      );
      write(folder, settings.name, settings);
      nodeIndex++;
    }
  }
}

function describeMember(deployment, failureDomain, index) {
  const port = deployment.port + index * 10;
  return {
    name: `control-${index + 1}`,
    peerAddress: `${host}:${port}`,
    operatorAddress: `${host}:${port + 1}`,
    distributionAddress: `${host}:${port + 2}`,
    failureDomain,
  };
}

function controlSettings(deployment, members, index) {
  const member = members[index];
  return {
    role: 'control',
    name: member.name,
    region: deployment.region,
    failureDomain: member.failureDomain,
    dataFolder: `data/${member.name}`,
    peerAddress: member.peerAddress,
    operatorAddress: member.operatorAddress,
    distributionAddress: member.distributionAddress,
    adminAddress: `${host}:${deployment.port + index * 10 + 3}`,
    batchWindow: deployment.batchWindow,
    members,
  };
}

function nodeSettings(deployment, members, service, number, nodeIndex) {
  const port = deployment.port + 100 + nodeIndex * 10;
  const domains = deployment.failureDomains;
  return {
    role: 'node',
    name: `${service.name}-${number}`,
    region: deployment.region,
    failureDomain: domains[(number - 1) % domains.length],
    callerAddress: `${host}:${port}`,
    gateAddress: `${host}:${port + 1}`,
    announceAddress: `${host}:${port + 2}`,
    keeperAddress: `${host}:${port + 4}`,
    adminAddress: `${host}:${port + 3}`,
    homes: members.map(member => ({
      address: member.distributionAddress,
      failureDomain: member.failureDomain,
    })),
  };
}

function write(folder, name, settings) {
  const text = `${JSON.stringify(settings, null, 2)}\n`;
  writeFileSync(join(folder, `${name}.json`), text);
}

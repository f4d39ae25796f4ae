#!/usr/bin/env node
import { main } from '../dist/src';

await main(process.argv.slice(2));

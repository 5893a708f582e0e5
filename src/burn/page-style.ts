/**
 * CSS of the page; always a light theme, so that it prints as it is displayed.
 */
export const pageStyle = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 72rem; padding: 0 1rem; color: #222; background: #fff; }
h1 { font-size: 1.6rem; margin-bottom: 0; }
h2 { font-size: 1.15rem; margin: 2rem 0 0.5rem; }
table { border-collapse: collapse; margin: 1rem 0; }
th, td { text-align: left; padding: 0.3rem 0.8rem 0.3rem 0; border-bottom: 1px solid #ddd; white-space: nowrap; }
.number { text-align: right; font-variant-numeric: tabular-nums; }
.hot { color: #b34700; font-weight: 600; }
.page-fast, .page-slow { color: #fff; background: #b34700; padding-left: 0.5rem; }
.ticket { background: #ffe4b3; padding-left: 0.5rem; }
.none { color: #666; }
.warning { background: #ffe4b3; padding: 0.5rem; }
.bar { width: 100px; height: 10px; vertical-align: middle; }
section svg[role=img]:not(.bar) { max-width: 44rem; display: block; }
`;
